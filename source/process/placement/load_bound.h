#ifndef MARJORAMSILL_PROCESS_PLACEMENT_LOAD_BOUND_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_LOAD_BOUND_H_

#include <cstdint>

#include "process/directory/fleet_position.h"

namespace marjoramsill {

struct placement_settings;

/// How many requests the endpoints of one pool may hold, derived from the mean
/// load of all endpoints that serve, also of those that a request may not be
/// sent to.
class load_bound {
 public:
  /// `pool_mean`: mean of the estimated loads. `expected_mean`: of the loads
  /// without the bias of old reports, or of the requests that all entry VMs
  /// have in progress if that is more. `position`: this entry VM's place in the
  /// fleet. Nothing divides the bound if endpoints do not report their load,
  /// since the mean then covers the requests of this VM only.
  load_bound(const placement_settings& settings, double pool_mean,
             double expected_mean, const fleet_position& position);

  double pool_mean() const { return pool_mean_; }
  /// Endpoints above this load get no requests while others are below it.
  double usual() const { return usual_; }
  /// Most requests that an endpoint may hold when another one arrives.
  double most() const { return most_; }
  /// True if endpoints with this mean load leave so little room that entry VMs
  /// that decide by the same late reports would exceed the bound together.
  bool IsScarce(double mean_of_candidates) const;
  /// Requests that this VM may have in progress at one endpoint while places
  /// are scarce. Over all VMs they add up to the bound. `order`: number of the
  /// endpoint, which selects the VMs that get one place more.
  std::uint32_t OwnPlaces(std::uint64_t order) const;
  /// The part of these places that one VM has at the endpoint.
  static std::uint32_t PartOf(std::uint32_t places, std::uint64_t order,
                              const fleet_position& position);

 private:
  double pool_mean_;
  double usual_;
  double most_;
  fleet_position position_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_LOAD_BOUND_H_
