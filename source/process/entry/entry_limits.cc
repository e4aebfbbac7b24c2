#include "process/entry/entry_limits.h"

#include <sys/resource.h>

namespace marjoramsill {
namespace {

/// File descriptors reserved for endpoints, peers and files.
constexpr std::size_t kOtherDescriptors = 1'500;
constexpr std::size_t kMinCallerConnections = 500;

}  // namespace

placement_settings PlacementSettings(const node_settings& settings) {
  placement_settings placement;
  placement.domain = settings.failure_domain;
  placement.warm_up = settings.warm_up;
  placement.learn_endpoint_speed = settings.learn_endpoint_speed;
  return placement;
}

std::size_t MaxCallerConnections() {
  rlimit files{};
  if (::getrlimit(RLIMIT_NOFILE, &files) != 0) return kMinCallerConnections;
  const auto limit = static_cast<std::size_t>(files.rlim_cur);
  if (limit < kOtherDescriptors + kMinCallerConnections) {
    return kMinCallerConnections;
  }
  return limit - kOtherDescriptors;
}

}  // namespace marjoramsill
