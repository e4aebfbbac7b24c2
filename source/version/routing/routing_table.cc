#include "version/routing/routing_table.h"

#include <cctype>
#include <utility>

namespace marjoramsill {

routing_table::routing_table(routing_document document)
    : document_(std::move(document)) {
  for (const route_rule& route : document_.routes) {
    hosts_[route.host][route.path_prefix] = &route;
  }
  for (const workspace_spec& workspace : document_.workspaces) {
    for (const std::string& key : workspace.keys) keys_[key] = &workspace;
  }
  for (const pool_spec& pool : document_.pools) pools_[pool.id] = &pool;
}

const route_rule* routing_table::FindRoute(std::string_view host,
                                           std::string_view path) const {
  const auto found = hosts_.find(NormalizeHost(host));
  if (found == hosts_.end()) return nullptr;
  const prefix_map& prefixes = found->second;
  // Prefixes end with a slash, so only prefixes of the path up to a slash can
  // match.
  std::size_t end = path.rfind('/');
  while (end != std::string_view::npos) {
    const auto route = prefixes.find(path.substr(0, end + 1));
    if (route != prefixes.end()) return route->second;
    if (end == 0) break;
    end = path.rfind('/', end - 1);
  }
  return nullptr;
}

const workspace_spec* routing_table::FindWorkspace(std::string_view key) const {
  const auto found = keys_.find(key);
  return found == keys_.end() ? nullptr : found->second;
}

const pool_spec* routing_table::FindPool(const model_id& id) const {
  const auto found = pools_.find(id);
  return found == pools_.end() ? nullptr : found->second;
}

const model_id& routing_table::PickPool(const route_rule& route,
                                        std::uint64_t random) {
  std::uint64_t total = 0;
  for (const route_target& target : route.targets) total += target.weight;
  std::uint64_t remaining = total == 0 ? 0 : random % total;
  for (const route_target& target : route.targets) {
    if (remaining < target.weight) return target.pool;
    remaining -= target.weight;
  }
  return route.targets.front().pool;
}

std::string NormalizeHost(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  const bool has_port =
      colon != std::string_view::npos && host.find(']', colon) == host.npos;
  std::string name(has_port ? host.substr(0, colon) : host);
  for (char& c : name) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return name;
}

}  // namespace marjoramsill
