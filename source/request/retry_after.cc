#include "request/retry_after.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>

namespace marjoramsill {
namespace {

constexpr double kMillisPerSecond = 1'000;
constexpr double kLongestMs = 24.0 * 3'600 * kMillisPerSecond;

}  // namespace

std::optional<std::chrono::milliseconds> ParseRetryAfter(
    std::string_view text) {
  double seconds = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, seconds);
  const bool is_number = error == std::errc() && stop == end;
  if (!is_number || !std::isfinite(seconds) || seconds < 0) {
    return std::nullopt;
  }
  const double ms = std::min(std::ceil(seconds * kMillisPerSecond), kLongestMs);
  return std::chrono::milliseconds(static_cast<std::int64_t>(ms));
}

}  // namespace marjoramsill
