#include "process/entry/log_fields.h"

#include <array>
#include <charconv>

#include "process/daemon/event_log.h"

namespace marjoramsill {

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
