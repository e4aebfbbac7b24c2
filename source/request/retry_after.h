#ifndef MARJORAMSILL_REQUEST_RETRY_AFTER_H_
#define MARJORAMSILL_REQUEST_RETRY_AFTER_H_

#include <chrono>
#include <optional>
#include <string_view>

namespace marjoramsill {

/// Field of a refusal that names the seconds until the sender may come back
/// (RFC 9110 section 10.2.3).
inline constexpr const char* kRetryAfterField = "Retry-After";

/// Parses a number of seconds, which may have fractions; one over a day counts
/// as a day. Nothing if the text is a date, negative or no number.
std::optional<std::chrono::milliseconds> ParseRetryAfter(std::string_view text);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_RETRY_AFTER_H_
