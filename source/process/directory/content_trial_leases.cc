#include "process/directory/content_trial_leases.h"

#include <algorithm>

#include "process/directory/content_trial.h"
#include "process/directory/content_trial_request.h"

namespace marjoramsill {
namespace {

using std::chrono::seconds;

/// A crash is decided up to 4.5 s after the connection broke, and known to all
/// VMs within another second.
constexpr seconds kLeaseTime{6};
/// Trials with content at fault crash endpoints, so they are few. One may be
/// lost with the links of its VM.
constexpr std::size_t kMaxTrials = 2;
/// Trials count for this time after the last one.
constexpr seconds kCountedTime{600};
/// Bounds the memory to about 500 KB; further leases are not granted.
constexpr std::size_t kMaxLeases = 4'096;

}  // namespace

bool content_trial_leases::MayGrant(const content_trial& trial,
                                    steady_time now) const {
  const auto found = leases_.find(trial.content);
  if (found == leases_.end()) return true;
  const lease& last = found->second;
  if (trial.clearances > last.clearances) return true;
  return now >= last.until && last.trials < kMaxTrials;
}

bool content_trial_leases::Acquire(const vm_id& vm,
                                   const content_trial_request& request,
                                   steady_time now) {
  if (now - started_ < kLeaseTime) return false;
  if (leases_.size() + request.trials.size() > kMaxLeases) return false;
  const auto may_grant = [&](const content_trial& each) {
    return MayGrant(each, now);
  };
  if (!std::all_of(request.trials.begin(), request.trials.end(), may_grant)) {
    return false;
  }
  for (const content_trial& each : request.trials) {
    lease& granted = leases_[each.content];
    if (each.clearances > granted.clearances) granted.trials = 0;
    granted.holder = vm;
    granted.number = request.number;
    granted.clearances = std::max(granted.clearances, each.clearances);
    ++granted.trials;
    granted.until = now + kLeaseTime;
  }
  return true;
}

void content_trial_leases::Release(const vm_id& vm,
                                   const content_trial_request& request,
                                   steady_time now) {
  for (const content_trial& each : request.trials) {
    const auto found = leases_.find(each.content);
    if (found == leases_.end()) continue;
    lease& held = found->second;
    if (held.holder != vm || held.number != request.number) continue;
    // A repeated release finds nothing.
    held.holder = vm_id();
    --held.trials;
    held.until = now;
  }
}

void content_trial_leases::Expire(steady_time now) {
  std::erase_if(leases_, [now](const auto& item) {
    return now - item.second.until > kCountedTime;
  });
}

}  // namespace marjoramsill
