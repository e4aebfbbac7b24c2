#ifndef MARJORAMSILL_PROCESS_PLACEMENT_WARM_UP_SHARE_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_WARM_UP_SHARE_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "types/steady_time.h"

namespace marjoramsill {

/// What this entry VM has left of its part of the request rate of one cold
/// endpoint. One request may be saved.
class warm_up_share {
 public:
  /// Whether a request may be sent to the endpoint, which is cold. `part`:
  /// requests per second that this VM may send. The first call after the
  /// endpoint was warm begins without an allowance, and requests that this VM
  /// sent in the second before count.
  bool HasAllowance(double part, steady_time now);
  /// Time until HasAllowance() is true; nothing without a part.
  std::optional<std::chrono::microseconds> Wait(double part, steady_time now);
  /// The endpoint is warm.
  void OnWarm() { is_cold_ = false; }
  /// A request is sent, whether the endpoint is cold or not.
  void Take(steady_time now);

 private:
  void Refill(double part, steady_time now);
  /// Requests of about the last second, at least.
  double Recent(steady_time now) const;

  bool is_cold_ = false;
  bool has_part_ = false;
  double allowance_ = 0;
  steady_time refilled_at_;
  /// Requests since the start of a period of one second, and in the period
  /// before.
  std::uint32_t sent_ = 0;
  std::uint32_t sent_before_ = 0;
  steady_time period_start_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_WARM_UP_SHARE_H_
