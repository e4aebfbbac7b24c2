#include <algorithm>

#include "cluster.h"

// Faults of disks, processes and links.

namespace marjoramsill {

/// A disk may be lost only if every configuration that a member has in effect
/// keeps a majority of voters with intact disks.
bool cluster::CanLoseDisk(std::size_t vm) const {
  // Until the leader detects a loss, its repair plan still counts that member.
  if (now_ < next_disk_loss_allowed_) return false;
  const auto now_frozen = [&](const vm_state& state) {
    return now_ < state.frozen_until;
  };
  const bool reachable =
      cut_links_.empty() && std::none_of(vms_.begin(), vms_.end(), now_frozen);
  const auto survives = [&](const group_configuration& configuration) {
    // With three voters, a loss during a repair step costs the majority;
    // docs/replication.md describes this limit.
    if (configuration.voter_count() <= 3 && !reachable) return false;
    std::size_t intact = 0;
    for (std::size_t i = 0; i < vms_.size(); ++i) {
      const member_id id{vms_[i].id, vms_[i].disk_number};
      if (i != vm && !vms_[i].stale && configuration.IsVoter(id)) ++intact;
    }
    return intact >= configuration.quorum();
  };
  bool group_exists = false;
  for (const vm_state& state : vms_) {
    if (!state.group) return false;
    if (!state.group->node().has_group()) continue;
    group_exists = true;
    if (!survives(state.group->node().configuration())) return false;
  }
  return group_exists;
}

bool cluster::LoseDisk(std::size_t vm) {
  if (!CanLoseDisk(vm)) return false;
  next_disk_loss_allowed_ = now_ + 2'000'000;
  ReplaceDisk(vm);
  Start(vm);
  return true;
}

void cluster::ReplaceDisk(std::size_t vm) {
  Stop(vm);
  CreateDisk(vm);
}

void cluster::CopyDisk(std::size_t vm) {
  vm_state& state = vms_[vm];
  if (!state.group || state.stale || !state.group->node().has_group()) return;
  state.disk_copy =
      vm_state::copy{state.disk->files(), state.disk_number, state.run,
                     state.group->node().configuration()};
}

bool cluster::RestoreDisk(std::size_t vm) {
  vm_state& state = vms_[vm];
  // A copy made during the same run is out of scope, see docs/replication.md.
  if (!state.disk_copy || state.disk_copy->run == state.run) return false;
  if (state.disk_copy->number != state.disk_number || !CanLoseDisk(vm)) {
    return false;
  }
  // The conditions under which the start check detects an older disk, see
  // docs/replication.md.
  if (!state.start_confirmed ||
      state.group->node().configuration() != state.disk_copy->configuration) {
    return false;
  }
  Stop(vm);
  state.disk = std::make_unique<memory_disk>();
  state.disk->files() = state.disk_copy->files;
  for (const auto& [name, bytes] : state.disk->files()) {
    (void)state.disk->Sync(name);
  }
  next_disk_loss_allowed_ = now_ + 2'000'000;
  state.disk_copy.reset();
  state.stale = true;
  Start(vm);
  const auto timeout =
      std::chrono::microseconds(options_.settings.start_check_timeout);
  ScheduleAt(now_ + timeout.count() * 8 / 10,
             [this, vm, run = state.run] { EndFaults(vm, run); });
  return true;
}

/// Ends all faults, because faults that last longer than the timeout of the
/// start check are out of scope.
void cluster::EndFaults(std::size_t vm, std::uint64_t run) {
  if (!vms_[vm].stale || vms_[vm].run != run) return;
  Heal();
  SetNetwork(0, 0, 0);
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    vms_[i].frozen_until = 0;
    Start(i);
  }
}

void cluster::Freeze(std::size_t vm, std::chrono::microseconds duration) {
  vms_[vm].frozen_until =
      std::max(vms_[vm].frozen_until, now_ + duration.count());
}

void cluster::Isolate(std::size_t vm) {
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    if (i == vm) continue;
    CutLink(i, vm);
    CutLink(vm, i);
  }
  // A frozen process still receives the messages in its socket buffer and may
  // therefore raise its term.
  if (vms_[vm].group && now_ >= vms_[vm].frozen_until) {
    vms_[vm].term_at_isolation = vms_[vm].group->node().term();
  }
}

void cluster::Heal() {
  cut_links_.clear();
  for (vm_state& vm : vms_) vm.term_at_isolation.reset();
}

void cluster::SetNetwork(int drop_percent, int duplicate_percent,
                         int delay_ms) {
  drop_percent_ = drop_percent;
  duplicate_percent_ = duplicate_percent;
  delay_ms_ = delay_ms;
}

}  // namespace marjoramsill
