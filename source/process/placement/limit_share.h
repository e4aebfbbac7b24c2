#ifndef MARJORAMSILL_PROCESS_PLACEMENT_LIMIT_SHARE_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_LIMIT_SHARE_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "process/directory/fleet_position.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// This entry VM's part of the request rate that one endpoint takes from all
/// entry VMs together. The parts of all VMs add up to the limit. So that none
/// is too small to be used, a low limit is divided among few VMs, other ones
/// for each endpoint.
class limit_share {
 public:
  /// `order`: number of the endpoint, which selects the VMs that send to it.
  explicit limit_share(std::uint64_t order) : order_(order) {}

  /// The endpoint named this limit in requests per second, or none, in a
  /// response to this entry VM. Without a limit the rate doubles each second,
  /// from the usual one at least, and then is free again.
  void Record(std::optional<double> per_second, steady_time now);
  /// Another entry VM received it at `measured_at`. Ignored if this VM has
  /// newer news, or some that may be newer.
  void RecordShared(std::optional<double> per_second, steady_time measured_at);
  /// Requests per second that this VM sends to an endpoint of the pool on
  /// average.
  void SetUsualRate(double per_second) { usual_rate_ = per_second; }
  /// The limit that the endpoint named last, unless it has lifted it.
  std::optional<double> per_second() const;
  /// Whether a request may be sent now.
  bool HasAllowance(const fleet_position& position, steady_time now);
  /// Requests per second that this VM may send; nothing without a limit.
  std::optional<double> OwnRate(const fleet_position& position,
                                steady_time now) const;
  /// A request is sent.
  void Take(steady_time now);
  /// Time until HasAllowance() is true; nothing if this VM has no part.
  std::optional<std::chrono::microseconds> Wait(const fleet_position& position,
                                                steady_time now);

 private:
  bool IsFree(steady_time now) const;
  /// Requests per second that this VM may send.
  double Rate(const fleet_position& position, steady_time now) const;
  /// This VM's part of a limit.
  double PartOf(double limit, const fleet_position& position) const;
  void Refill(const fleet_position& position, steady_time now);

  std::uint64_t order_;
  std::optional<double> per_second_;
  double usual_rate_ = 0;
  steady_time measured_at_;
  /// When the endpoint stopped naming the limit.
  std::optional<steady_time> lifted_at_;
  double tokens_ = 0;
  steady_time refilled_at_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_LIMIT_SHARE_H_
