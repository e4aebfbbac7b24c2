#ifndef MARJORAMSILL_PROCESS_ENTRY_LOG_FIELDS_H_
#define MARJORAMSILL_PROCESS_ENTRY_LOG_FIELDS_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "process/directory/content_fault.h"

namespace marjoramsill {

/// A prompt part in log lines: 16 hexadecimal digits.
std::string ContentText(content_digest part);
/// Starts of endpoints that ended, in hexadecimal, separated by commas.
std::string RunsText(const std::vector<endpoint_run_digest>& runs);

/// Builds the key=value pairs of a log line.
class log_fields {
 public:
  /// Escapes the value where necessary.
  log_fields& Add(std::string_view key, std::string_view value);
  template <std::integral Number>
  log_fields& Add(std::string_view key, Number value) {
    return AddPlain(key, std::to_string(value));
  }
  /// Formats the value with one decimal place.
  log_fields& Add(std::string_view key, double value);

  const std::string& text() const { return text_; }

 private:
  log_fields& AddPlain(std::string_view key, std::string_view value);

  std::string text_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_LOG_FIELDS_H_
