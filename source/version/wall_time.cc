#include "version/wall_time.h"

namespace marjoramsill {
namespace {

constexpr std::string_view kFormat = "dddd-dd-ddTdd:dd:ddZ";

bool MatchesFormat(std::string_view text) {
  if (text.size() != kFormat.size()) return false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool digit = text[i] >= '0' && text[i] <= '9';
    if (kFormat[i] == 'd' ? !digit : text[i] != kFormat[i]) return false;
  }
  return true;
}

int Digits(std::string_view text, std::size_t from, std::size_t count) {
  int value = 0;
  for (char c : text.substr(from, count)) value = value * 10 + (c - '0');
  return value;
}

}  // namespace

std::optional<wall_time> ParseWallTime(std::string_view text) {
  using namespace std::chrono;  // NOLINT(google-build-using-namespace)
  if (!MatchesFormat(text)) return std::nullopt;
  const year_month_day date{year(Digits(text, 0, 4)),
                            month(static_cast<unsigned>(Digits(text, 5, 2))),
                            day(static_cast<unsigned>(Digits(text, 8, 2)))};
  const int hour = Digits(text, 11, 2);
  const int minute = Digits(text, 14, 2);
  const int second = Digits(text, 17, 2);
  if (!date.ok() || hour > 23 || minute > 59 || second > 59) {
    return std::nullopt;
  }
  return sys_days{date} + hours(hour) + minutes(minute) + seconds(second);
}

}  // namespace marjoramsill
