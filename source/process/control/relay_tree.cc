#include "process/control/relay_tree.h"

#include <algorithm>
#include <map>
#include <utility>

namespace marjoramsill {
namespace {

constexpr std::size_t kHeadDegree = 2;
constexpr std::size_t kDegree = 4;

}  // namespace

relay_tree::relay_tree(std::vector<vm_location> vms, const vm_id& root) {
  std::map<failure_domain_id, std::vector<vm_id>> by_domain;
  for (vm_location& location : vms) {
    by_domain[location.domain].push_back(std::move(location.vm));
  }
  for (auto& [domain, members] : by_domain) {
    std::sort(members.begin(), members.end());
    const auto found = std::find(members.begin(), members.end(), root);
    const bool has_root = found != members.end();
    if (has_root) std::rotate(members.begin(), found, found + 1);
    domains_.insert(has_root ? domains_.begin() : domains_.end(),
                    std::move(members));
  }
}

void relay_tree::AddHeadChildren(std::size_t domain,
                                 std::vector<vm_id>& out) const {
  for (std::size_t i = 1; i <= kHeadDegree; ++i) {
    const std::size_t child = domain * kHeadDegree + i;
    if (child < domains_.size()) out.push_back(domains_[child].front());
  }
}

std::vector<vm_id> relay_tree::Children(const vm_id& vm) const {
  std::vector<vm_id> children;
  for (std::size_t d = 0; d < domains_.size(); ++d) {
    const auto& members = domains_[d];
    const auto found = std::find(members.begin(), members.end(), vm);
    if (found == members.end()) continue;
    const auto k = static_cast<std::size_t>(found - members.begin());
    if (k == 0) AddHeadChildren(d, children);
    // Members 1 and 2 are children of the head, 3 to 6 of member 1, and so on.
    const std::size_t begin = k == 0 ? 1 : kDegree * k - 1;
    const std::size_t end = k == 0 ? 1 + kHeadDegree : begin + kDegree;
    for (std::size_t i = begin; i < std::min(end, members.size()); ++i) {
      children.push_back(members[i]);
    }
    return children;
  }
  return children;
}

}  // namespace marjoramsill
