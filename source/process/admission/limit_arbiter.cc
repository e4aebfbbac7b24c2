#include "process/admission/limit_arbiter.h"

#include <algorithm>

namespace marjoramsill {

limit_arbiter::limit_arbiter(const limit_settings& settings, steady_time start)
    : settings_(settings), start_(start) {}

limit_arbiter::lease_response limit_arbiter::RequestLease(
    const workspace_id& workspace, const vm_id& from, std::uint64_t incarnation,
    steady_time now) {
  const steady_time history_known_at = start_ + settings_.allocator_lease;
  if (now < history_known_at) return {};
  auto [it, is_new] = leases_.try_emplace(workspace);
  allocator_lease& lease = it->second;
  if (is_new) lease.other_expires_at = history_known_at;
  const bool is_renewal =
      !is_new && lease.candidate == from && lease.incarnation == incarnation;
  if (!is_renewal && !is_new) {
    if (now < lease.expires_at) return {};
    lease.other_expires_at = std::max(lease.other_expires_at, lease.expires_at);
  }
  lease.candidate = from;
  lease.incarnation = incarnation;
  lease.expires_at = now + settings_.allocator_lease;
  const steady_time safe_at =
      lease.other_expires_at + settings_.max_request_duration;
  return {
      .granted = true,
      .time_until_safe = std::max(safe_at - now, std::chrono::microseconds(0))};
}

void limit_arbiter::RemoveExpired(steady_time now) {
  std::erase_if(leases_, [&](const auto& item) {
    return now > item.second.expires_at + settings_.max_request_duration;
  });
}

}  // namespace marjoramsill
