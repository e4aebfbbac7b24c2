#include "process/entry/log_fields.h"

#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>

#include "process/daemon/event_log.h"

namespace marjoramsill {

std::string ContentText(content_digest part) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016" PRIx64, part.value());
  return text;
}

std::string RunsText(const std::vector<endpoint_run_digest>& runs) {
  std::string all;
  for (const endpoint_run_digest run : runs) {
    char text[9];
    std::snprintf(text, sizeof(text), "%08" PRIx64, run.value());
    if (!all.empty()) all += ',';
    all += text;
  }
  return all;
}

log_fields& log_fields::Add(std::string_view key, std::string_view value) {
  return AddPlain(key, EscapeLogValue(value));
}

log_fields& log_fields::Add(std::string_view key, double value) {
  std::array<char, 32> digits;
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 value, std::chars_format::fixed, 1)
                       .ptr;
  return AddPlain(
      key, std::string_view(digits.data(),
                            static_cast<std::size_t>(end - digits.data())));
}

log_fields& log_fields::AddPlain(std::string_view key, std::string_view value) {
  if (!text_.empty()) text_ += ' ';
  text_ += key;
  text_ += '=';
  text_ += value;
  return *this;
}

}  // namespace marjoramsill
