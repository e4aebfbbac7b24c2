#include "process/control/peer_table.h"

#include <algorithm>

namespace marjoramsill {

void peer_table::SetVms(const std::vector<vm_location>& vms) {
  std::map<vm_id, peer> next;
  known_versions_ = 0;
  for (const vm_location& location : vms) {
    if (location.vm == self_.vm) continue;
    const auto known = peers_.find(location.vm);
    peer entry{location.domain, std::nullopt};
    if (known != peers_.end()) entry.version = known->second.version;
    if (entry.version) ++known_versions_;
    next.emplace(location.vm, std::move(entry));
  }
  peers_ = std::move(next);
  std::erase_if(avoided_, [this](const auto& entry) {
    return !peers_.contains(entry.first.first);
  });
}

void peer_table::SetVersion(const vm_id& vm, document_version version) {
  const auto it = peers_.find(vm);
  if (it == peers_.end()) return;
  if (!it->second.version) ++known_versions_;
  it->second.version = version;
}

void peer_table::Avoid(const vm_id& vm, fetch_scope scope, steady_time until) {
  avoided_[{vm, scope}] = until;
}

bool peer_table::Avoided(const vm_id& vm, fetch_scope scope,
                         steady_time now) const {
  const auto it = avoided_.find({vm, scope});
  return it != avoided_.end() && now < it->second;
}

document_version peer_table::newest() const {
  document_version newest;
  for (const auto& [vm, entry] : peers_) {
    if (entry.version) newest = std::max(newest, *entry.version);
  }
  return newest;
}

std::optional<vm_id> peer_table::Choose(steady_time now, fetch_scope scope,
                                        document_version min_version,
                                        const random_source& random) const {
  std::vector<const vm_id*> near;
  std::vector<const vm_id*> far;
  for (const auto& [vm, entry] : peers_) {
    if (!entry.version || *entry.version < min_version) continue;
    if (Avoided(vm, scope, now)) continue;
    (entry.domain == self_.domain ? near : far).push_back(&vm);
  }
  const auto& from = near.empty() ? far : near;
  if (from.empty()) return std::nullopt;
  return *from[random() % from.size()];
}

}  // namespace marjoramsill
