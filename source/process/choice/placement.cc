#include "process/choice/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace marjoramsill {
namespace {

/// Ring points per concurrent request of an endpoint. With at least 64 points,
/// the shares of equal endpoints differ by about an eighth.
constexpr std::uint32_t kPointsPerSlot = 8;
constexpr std::uint32_t kMinPoints = 64;
constexpr std::uint32_t kMaxPoints = 512;

struct ring_point {
  std::uint64_t position;
  endpoint_index owner;

  friend bool operator<(const ring_point& a, const ring_point& b) {
    return std::tie(a.position, a.owner) < std::tie(b.position, b.owner);
  }
};

placement::domain_ring BuildRing(
    const std::vector<placement_endpoint>& endpoints,
    const failure_domain_id& domain) {
  placement::domain_ring ring;
  ring.domain = domain;
  std::vector<ring_point> points;
  for (endpoint_index i = 0; i < endpoints.size(); ++i) {
    const placement_endpoint& endpoint = endpoints[i];
    if (endpoint.domain != domain) continue;
    ring.members.push_back(i);
    const std::uint32_t count =
        std::clamp(kPointsPerSlot * endpoint.capacity, kMinPoints, kMaxPoints);
    const std::string& id = endpoint.id.value();
    for (std::uint32_t point = 0; point < count; ++point) {
      points.push_back({XXH3_64bits_withSeed(id.data(), id.size(), point), i});
    }
  }
  std::sort(points.begin(), points.end());
  ring.points.reserve(points.size());
  ring.point_owners.reserve(points.size());
  for (const ring_point& point : points) {
    ring.points.push_back(point.position);
    ring.point_owners.push_back(point.owner);
  }
  return ring;
}

}  // namespace

std::uint64_t PlacementKey(std::string_view chat_or_prefix) {
  return XXH3_64bits(chat_or_prefix.data(), chat_or_prefix.size());
}

std::shared_ptr<const placement> placement::Build(
    std::vector<placement_endpoint> endpoints, std::uint64_t view_number) {
  // Sorting by id gives all VMs the same order of preference.
  std::sort(endpoints.begin(), endpoints.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  std::shared_ptr<placement> built(new placement);
  built->endpoints_ = std::move(endpoints);
  built->view_number_ = view_number;
  std::map<failure_domain_id, bool> domains;
  for (const placement_endpoint& endpoint : built->endpoints_) {
    domains[endpoint.domain] = true;
    built->total_capacity_ += endpoint.capacity;
  }
  for (const auto& [domain, present] : domains) {
    built->rings_.push_back(BuildRing(built->endpoints_, domain));
  }
  return built;
}

std::optional<std::size_t> placement::RingOf(
    const failure_domain_id& domain) const {
  for (std::size_t i = 0; i < rings_.size(); ++i) {
    if (rings_[i].domain == domain) return i;
  }
  return std::nullopt;
}

std::optional<endpoint_index> placement::IndexOf(const endpoint_id& id) const {
  const auto found = std::lower_bound(
      endpoints_.begin(), endpoints_.end(), id,
      [](const placement_endpoint& endpoint, const endpoint_id& value) {
        return endpoint.id < value;
      });
  if (found == endpoints_.end() || found->id != id) return std::nullopt;
  return static_cast<endpoint_index>(found - endpoints_.begin());
}

}  // namespace marjoramsill
