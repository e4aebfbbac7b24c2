#ifndef MARJORAMSILL_PROCESS_PLACEMENT_STATED_TERMS_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_STATED_TERMS_H_

#include <chrono>
#include <cstdint>
#include <optional>

namespace marjoramsill {

/// What one response of an endpoint says about the requests that the endpoint
/// takes.
struct stated_terms {
  /// Requests per second that it takes from all entry VMs together.
  std::optional<double> limit = std::nullopt;
  /// Refusals for want of room in one second that it survives.
  std::optional<std::uint32_t> refusal_limit = std::nullopt;
  /// Time for which it wants no request from the VM that it refused.
  std::optional<std::chrono::milliseconds> pause = std::nullopt;
  /// It leaves, and wants no further request from this VM.
  bool is_leaving = false;
  /// Time until the endpoint is warm; 0 if it is.
  std::optional<std::chrono::milliseconds> cold_left = std::nullopt;
  /// A refusal names a pause that is no time from now.
  bool is_pause_unreadable = false;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_STATED_TERMS_H_
