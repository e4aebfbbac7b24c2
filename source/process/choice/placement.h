#ifndef MARJORAMSILL_PROCESS_CHOICE_PLACEMENT_H_
#define MARJORAMSILL_PROCESS_CHOICE_PLACEMENT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "process/choice/placement_endpoint.h"
#include "types/ids.h"

namespace marjoramsill {

/// Index of an endpoint in one placement.
using endpoint_index = std::uint32_t;

/// Hash of a chat id or prefix key.
std::uint64_t PlacementKey(std::string_view chat_or_prefix);

/// Order of preference of the endpoints of one model or service for every key,
/// by consistent hashing. Built once per membership view, immutable and shared
/// between shards. All VMs with the same view compute the same order.
class placement {
 public:
  /// Consistent-hashing ring of the endpoints of one failure domain.
  struct domain_ring {
    failure_domain_id domain;
    /// Sorted points of the ring, and the endpoint that owns each point.
    std::vector<std::uint64_t> points;
    std::vector<endpoint_index> point_owners;
    std::vector<endpoint_index> members;
  };

  static std::shared_ptr<const placement> Build(
      std::vector<placement_endpoint> endpoints, std::uint64_t view_number);

  const std::vector<placement_endpoint>& endpoints() const {
    return endpoints_;
  }
  const std::vector<domain_ring>& rings() const { return rings_; }
  /// Index of the domain's ring, or empty if the domain has no endpoint.
  std::optional<std::size_t> RingOf(const failure_domain_id& domain) const;
  std::optional<endpoint_index> IndexOf(const endpoint_id& id) const;
  std::uint64_t view_number() const { return view_number_; }
  std::uint64_t total_capacity() const { return total_capacity_; }

 private:
  placement() = default;

  std::vector<placement_endpoint> endpoints_;
  std::vector<domain_ring> rings_;
  std::uint64_t view_number_ = 0;
  std::uint64_t total_capacity_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CHOICE_PLACEMENT_H_
