#include <algorithm>
#include <cstdio>
#include <string>

#include "process/burn/burn_report.h"

namespace marjoramsill {
namespace {

constexpr double kPlotWidth = 720;
constexpr double kPlotHeight = 160;
constexpr double kPlotLeft = 48;
constexpr double kPlotBottom = 24;

constexpr const char* kHead = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Service-level burn</title><style>
:root{color-scheme:light dark;--line:#8886;--text:#555;--data:#1769aa;
--warn:#b06000;--page:#b3261e}
@media(prefers-color-scheme:dark){:root{--text:#aaa;--data:#7cc0ff;
--warn:#ffb300;--page:#ff897d}}
body{font:16px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:56rem;
padding:0 1rem}
h2{margin:2.5rem 0 .5rem}table{border-collapse:collapse;width:100%}
th,td{padding:.25rem .5rem;text-align:right;border-bottom:1px solid var(--line)}
th:first-child,td:first-child{text-align:left}
.scroll{overflow-x:auto}.page{color:var(--page);font-weight:700}
.warn{color:var(--warn);font-weight:700}.quiet{color:var(--text)}
.note{color:var(--text)}svg{width:100%;height:auto}
svg text{font:12px system-ui,sans-serif;fill:var(--text)}
.grid{stroke:var(--line)}.data{stroke:var(--data);fill:none;stroke-width:2}
.dot,.bar{fill:var(--data)}.warnline{stroke:var(--warn);stroke-dasharray:4}
.pageline{stroke:var(--page);stroke-dasharray:4}
</style></head><body><h1>Service-level burn</h1>
)";

std::string Number(double value, int digits) {
  std::string text(64, '\0');
  const int size =
      std::snprintf(text.data(), text.size(), "%.*f", digits, value);
  text.resize(static_cast<std::size_t>(std::max(size, 0)));
  return text;
}

std::string Escape(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

std::string Names(const std::vector<vm_id>& vms) {
  if (vms.empty()) return "none";
  std::string text;
  for (const vm_id& vm : vms) {
    text += (text.empty() ? "" : ", ") + Escape(vm.value());
  }
  return text;
}

double Burn(const burn_row& row, burn_window window) {
  return row.burn.at(static_cast<std::size_t>(window));
}

std::string TableRow(const burn_row& row) {
  const std::string alert(AlertName(row.alert));
  std::string text = "<tr><td>" + Escape(BurnRowName(row)) + "</td><td>" +
                     Number(row.objective * 100, 2) + "%</td><td>" +
                     Number(row.budget_left * 100, 1) + "%</td>";
  for (const burn_window window : {burn_window::k5Min, burn_window::k1Hour,
                                   burn_window::k30Min, burn_window::k6Hours}) {
    text += "<td>" + Number(Burn(row, window), 2) + "</td>";
  }
  return text + "<td class=\"" + alert + "\">" + alert + "</td></tr>\n";
}

std::string Table(const burn_report& report, rank table_rank) {
  std::string text =
      "<div class=\"scroll\"><table><thead><tr><th>requests</th>"
      "<th>objective</th><th>budget left</th><th>5 min</th><th>1 h</th>"
      "<th>30 min</th><th>6 h</th><th>alert</th></tr></thead><tbody>\n";
  for (const burn_row& row : report.rows) {
    if (row.rank == table_rank) text += TableRow(row);
  }
  return text + "</tbody></table></div>\n";
}

/// Draws the burn rates of the last 6 hours as an SVG plot.
class burn_plot {
 public:
  burn_plot(const burn_settings& settings, const burn_row& row)
      : settings_(settings), row_(row), max_burn_(settings.page_burn * 1.2) {
    for (const std::optional<double>& burn : row.series) {
      max_burn_ = std::max(max_burn_, burn.value_or(0) * 1.05);
    }
  }

  std::string Svg() const {
    std::string svg = "<svg viewBox=\"0 0 " +
                      Number(kPlotLeft + kPlotWidth + 8, 0) + " " +
                      Number(kPlotHeight + kPlotBottom + 8, 0) +
                      "\" role=\"img\" aria-label=\"Burn rate of " +
                      Escape(BurnRowName(row_)) + " over 6 hours\">\n";
    svg += Line(0, "grid", "0") + Line(1, "grid", "1") +
           Line(settings_.warn_burn, "warnline", "warn") +
           Line(settings_.page_burn, "pageline", "page") + HourLabels() +
           SeriesPath();
    return svg + "</svg>\n";
  }

 private:
  double X(double point) const {
    return kPlotLeft + point / (kSeriesPoints - 1) * kPlotWidth;
  }
  double Y(double burn) const {
    return 8 + kPlotHeight * (1 - burn / max_burn_);
  }

  std::string Line(double burn, const char* style, const char* name) const {
    const std::string y = Number(Y(burn), 1);
    return std::string("<line class=\"") + style + "\" x1=\"" +
           Number(kPlotLeft, 0) + "\" x2=\"" +
           Number(kPlotLeft + kPlotWidth, 0) + "\" y1=\"" + y + "\" y2=\"" + y +
           "\"/><text x=\"" + Number(kPlotLeft - 6, 0) + "\" y=\"" +
           Number(Y(burn) + 4, 1) + "\" text-anchor=\"end\">" + name +
           "</text>\n";
  }
  std::string HourLabels() const {
    std::string text;
    constexpr int kPointsAnHour = 12;
    for (int hour = 0; hour <= 6; ++hour) {
      const double point = std::max(
          0, static_cast<int>(kSeriesPoints) - 1 - hour * kPointsAnHour);
      text += "<text text-anchor=\"middle\" x=\"" + Number(X(point), 1) +
              "\" y=\"" + Number(kPlotHeight + kPlotBottom, 0) + "\">" +
              (hour == 0 ? "now" : "-" + std::to_string(hour) + " h") +
              "</text>\n";
    }
    return text;
  }
  /// Lines between neighbouring points with requests. Each point also has a
  /// dot, so that a single point between gaps is visible.
  std::string SeriesPath() const {
    std::string path;
    std::string dots;
    bool connected = false;
    for (std::size_t i = 0; i < kSeriesPoints; ++i) {
      const std::optional<double>& burn = row_.series.at(i);
      if (burn) {
        const std::string x = Number(X(static_cast<double>(i)), 1);
        const std::string y = Number(Y(*burn), 1);
        path.append(connected ? "L" : "M").append(x).append(" ").append(y);
        dots.append("<circle class=\"dot\" r=\"2\" cx=\"").append(x);
        dots.append("\" cy=\"").append(y).append("\"/>");
      }
      connected = burn.has_value();
    }
    return "<path class=\"data\" d=\"" + path + "\"/>" + dots + "\n";
  }

  const burn_settings& settings_;
  const burn_row& row_;
  double max_burn_;
};

std::string Causes(const burn_row& row) {
  const event_counts& counts =
      row.counts.at(static_cast<std::size_t>(burn_window::k6Hours));
  const std::uint64_t max_count =
      *std::max_element(counts.begin() + 1, counts.end());
  if (max_count == 0) return "<p class=\"note\">No bad outcome in 6 h.</p>\n";
  constexpr int kRowHeight = 22;
  constexpr double kLabelWidth = 170;
  std::string bars;
  int y = 0;
  for (std::size_t i = 1; i < kServiceEventCount; ++i) {
    if (counts.at(i) == 0) continue;
    const double width = (kPlotWidth - kLabelWidth - 80) *
                         static_cast<double>(counts.at(i)) /
                         static_cast<double>(max_count);
    const std::string top = std::to_string(y + 15);
    bars += "<text x=\"0\" y=\"";
    bars.append(top).append("\">");
    bars += ServiceEventName(static_cast<service_event>(i));
    bars += "</text><rect class=\"bar\" height=\"14\" x=\"";
    bars.append(Number(kLabelWidth, 0)).append("\" y=\"");
    bars.append(std::to_string(y + 4)).append("\" width=\"");
    bars.append(Number(std::max(width, 1.0), 1)).append("\"/><text x=\"");
    bars.append(Number(kLabelWidth + width + 6, 1)).append("\" y=\"");
    bars.append(top).append("\">").append(std::to_string(counts.at(i)));
    bars += "</text>\n";
    y += kRowHeight;
  }
  return "<svg viewBox=\"0 0 " + Number(kPlotWidth, 0) + " " +
         std::to_string(y) +
         "\" role=\"img\" aria-label=\"Bad outcomes by cause\">\n" + bars +
         "</svg>\n";
}

std::string Section(const burn_report& report, const burn_row& row) {
  return "<h2>" + Escape(BurnRowName(row)) + "</h2>\n" +
         Table(report, row.rank) + "<h3>Burn rate, last 6 h, by 5 min</h3>\n" +
         burn_plot(report.settings, row).Svg() +
         "<h3>Bad outcomes by cause, last 6 h</h3>\n" + Causes(row);
}

}  // namespace

std::string BurnReportHtml(const burn_report& report) {
  std::string html = kHead;
  html += "<p>VMs included: " + Names(report.included) + "</p>\n";
  if (!report.missing.empty()) {
    html += "<p class=\"warn\">VMs missing, not covered below: " +
            Names(report.missing) + "</p>\n";
  }
  html +=
      "<p class=\"note\">A burn rate of 1 uses up the error budget exactly at "
      "the end of its 30 days. Page: at least " +
      Number(report.settings.page_burn, 1) +
      " over 5 min and 1 h. Warn: at least " +
      Number(report.settings.warn_burn, 1) + " over 30 min and 6 h.</p>\n";
  for (const burn_row& row : report.rows) {
    if (!row.size && row.failure_domain.empty()) html += Section(report, row);
  }
  return html + "</body></html>\n";
}

}  // namespace marjoramsill
