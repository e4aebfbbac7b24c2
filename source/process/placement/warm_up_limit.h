#ifndef MARJORAMSILL_PROCESS_PLACEMENT_WARM_UP_LIMIT_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_WARM_UP_LIMIT_H_

#include <cstdint>

#include "process/directory/fleet_position.h"
#include "process/placement/warm_up_bound.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Divides the request rate of a cold endpoint among the entry VMs. Each VM
/// that has a part may also save one request. So only a few VMs share, others
/// for each endpoint: as many as can send their saved requests and the rate in
/// one second within the bound. Room is left for two further VMs that have a
/// part by an old place in the fleet, or by one that another VM has as well.
class warm_up_limit {
 public:
  /// `per_second`: requests that a cold endpoint takes from all entry VMs.
  warm_up_limit(double per_second, const warm_up_bound& bound);

  /// Sets this VM's place. For a second after a change, this VM sends no more
  /// than at its former place, since the other VMs get to know the change at
  /// different times.
  void SetPosition(const fleet_position& position, steady_time now);

  /// Requests per second that this VM may send to the cold endpoint with this
  /// number; 0 if it has no part.
  double PartOf(std::uint64_t order, steady_time now) const;
  /// Greatest weight of a cold endpoint among the preferred ones of this VM.
  /// Over all VMs together it is that of a warm one.
  double MaxWeight() const;

 private:
  struct division {
    fleet_position position;
    /// VMs that send to the same endpoint.
    std::uint32_t sharing = 1;
    /// Requests per second of each.
    double per_second = 0;
  };
  division Divide(const fleet_position& position) const;
  static double PartOf(const division& divided, std::uint64_t order);

  const double per_second_;
  /// Most requests in a second.
  const double most_;
  division current_;
  division former_;
  steady_time settled_at_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_WARM_UP_LIMIT_H_
