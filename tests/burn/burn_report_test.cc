#include "process/burn/burn_report.h"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

namespace marjoramsill {
namespace {

using std::chrono::minutes;

constexpr steady_time kNow{std::chrono::hours(1000)};

counter_key Key(rank rank, const char* domain, size_class size) {
  return {
      .rank = rank, .failure_domain = failure_domain_id(domain), .size = size};
}

void Count(service_counters& counters, const counter_key& key,
           service_event event, int count, minutes age) {
  for (int i = 0; i < count; ++i) counters.Count(key, event, kNow - age);
}

/// Urgent requests on two VMs. Perth, small workspaces: 980 good and 20 late,
/// now. Bunbury, large workspaces: 800 good now, and 200 refused 40 minutes
/// ago.
burn_report Example() {
  service_counters perth;
  const auto small = Key(rank::kUrgent, "perth", size_class::kSmall);
  Count(perth, small, service_event::kGood, 980, minutes(0));
  Count(perth, small, service_event::kLateFirstToken, 20, minutes(0));
  service_counters bunbury;
  const auto large = Key(rank::kUrgent, "bunbury", size_class::kLarge);
  Count(bunbury, large, service_event::kGood, 800, minutes(0));
  Count(bunbury, large, service_event::kRefusedLimit, 200, minutes(40));
  counter_snapshot merged = perth.Snapshot(kNow);
  AddSnapshot(bunbury.Snapshot(kNow), merged);
  return MakeBurnReport({}, merged, {vm_id("vm1"), vm_id("vm2")},
                        {vm_id("vm<3>")});
}

const burn_row& Row(const burn_report& report, const std::string& name) {
  for (const burn_row& row : report.rows) {
    if (BurnRowName(row) == name) return row;
  }
  throw std::runtime_error("no row " + name);
}

double Burn(const burn_row& row, burn_window window) {
  return row.burn.at(static_cast<std::size_t>(window));
}

}  // namespace

class burn_report_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(burn_report_test);
  CPPUNIT_TEST(report_numbers_are_those_worked_out_by_hand);
  CPPUNIT_TEST(alert_needs_the_short_and_the_long_window);
  CPPUNIT_TEST(json_has_the_same_numbers_and_missing_vms);
  CPPUNIT_TEST(text_names_alerts_causes_and_missing_vms);
  CPPUNIT_TEST(html_is_self_contained_and_escaped);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against wrong sums, windows or divisors.
  void report_numbers_are_those_worked_out_by_hand() {
    const burn_report report = Example();
    // Objective 0.99, so 1 in 100 may be bad.
    const burn_row& all = Row(report, "urgent");
    // 5 min: 20 bad of 1800 = 1.1111%, burn 1.1111.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.1111, Burn(all, burn_window::k5Min), 1e-4);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.1111, Burn(all, burn_window::k30Min), 1e-4);
    // 1 h, 6 h and the budget: 220 bad of 2000 = 11%, burn 11.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(11, Burn(all, burn_window::k1Hour), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(11, Burn(all, burn_window::k6Hours), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(-10, all.budget_left, 1e-9);
    // Small: 20 bad of 1000. Large: 200 bad of 1000, all 40 minutes ago.
    const burn_row& small = Row(report, "urgent, small workspaces");
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2, Burn(small, burn_window::k1Hour), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(-1, small.budget_left, 1e-9);
    const burn_row& bunbury = Row(report, "urgent, bunbury");
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, Burn(bunbury, burn_window::k5Min), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20, Burn(bunbury, burn_window::k6Hours), 1e-9);
    // Series: now 20 of 1800 bad; 40 min ago all 200 bad, burn 100.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.1111, all.series.at(71).value(), 1e-4);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, all.series.at(63).value(), 1e-9);
    CPPUNIT_ASSERT(!all.series.at(64).has_value());
    // No requests: the full budget remains.
    const burn_row& idle = Row(report, "background");
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, idle.budget_left, 1e-9);
    CPPUNIT_ASSERT(idle.alert == alert_state::kNone);
  }

  // Guards against alerts for failures that have ended or have only just begun.
  void alert_needs_the_short_and_the_long_window() {
    CPPUNIT_ASSERT(Alert(0, 0) == alert_state::kNone);
    // 150 bad of 1000 now: burn 15 over every window.
    CPPUNIT_ASSERT(Alert(150, 0) == alert_state::kPage);
    // With 9000 good 50 min ago: 1 h burns 1.5 only.
    CPPUNIT_ASSERT(Alert(150, 9000) == alert_state::kNone);
    // 70 bad of 1000 now: burn 7 over every window.
    CPPUNIT_ASSERT(Alert(70, 0) == alert_state::kWarn);
    // All bad requests 50 min ago: no burn in the short windows.
    service_counters counters;
    const auto key = Key(rank::kUrgent, "perth", size_class::kSmall);
    Count(counters, key, service_event::kFailedEndpoint, 500, minutes(50));
    Count(counters, key, service_event::kGood, 500, minutes(0));
    const auto report = MakeBurnReport({}, counters.Snapshot(kNow), {}, {});
    CPPUNIT_ASSERT(Row(report, "urgent").alert == alert_state::kNone);
  }

  // Guards against numbers in the JSON that differ from the report.
  void json_has_the_same_numbers_and_missing_vms() {
    const auto json = nlohmann::json::parse(BurnReportJson(Example()));
    CPPUNIT_ASSERT_EQUAL(std::string("vm<3>"),
                         json["vms_missing"][0].get<std::string>());
    const auto& all = json["rows"][0];
    CPPUNIT_ASSERT_EQUAL(std::string("urgent"), all["rank"].get<std::string>());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(11, all["burn"]["1h"].get<double>(), 1e-9);
    CPPUNIT_ASSERT_EQUAL(200, all["counts"]["6h"]["refused: limit"].get<int>());
  }

  // Guards against a text report that does not name the missing VMs.
  void text_names_alerts_causes_and_missing_vms() {
    const std::string text = BurnReportText(Example());
    for (const char* part : {"VMs missing: vm<3>", "refused: limit=200",
                             "late first token=20", "-1000.0%"}) {
      CPPUNIT_ASSERT_MESSAGE(part, text.find(part) != std::string::npos);
    }
  }

  // Guards against a page that loads other resources, and against names that
  // are interpreted as markup.
  void html_is_self_contained_and_escaped() {
    const std::string html = BurnReportHtml(Example());
    for (const char* part : {"http:", "https:", "<script", "<link",
                             "src=", "url(", "@import", "vm<3>"}) {
      CPPUNIT_ASSERT_MESSAGE(part, html.find(part) == std::string::npos);
    }
    for (const char* part : {"<svg", "vm&lt;3&gt;", "-1000.0%", "11.00",
                             "refused: limit", "</html>"}) {
      CPPUNIT_ASSERT_MESSAGE(part, html.find(part) != std::string::npos);
    }
  }

 private:
  /// Alert state after 1000 recent requests, `bad` of them bad, and
  /// `earlier_good` good requests 50 minutes ago.
  static alert_state Alert(int bad, int earlier_good) {
    service_counters counters;
    const auto key = Key(rank::kUrgent, "perth", size_class::kSmall);
    Count(counters, key, service_event::kFailedEndpoint, bad, minutes(0));
    Count(counters, key, service_event::kGood, 1000 - bad, minutes(0));
    Count(counters, key, service_event::kGood, earlier_good, minutes(50));
    return Row(MakeBurnReport({}, counters.Snapshot(kNow), {}, {}), "urgent")
        .alert;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(burn_report_test);

}  // namespace marjoramsill
