#include "process/replication/repair_plan.h"

#include <algorithm>
#include <map>

namespace marjoramsill {
namespace {

/// With fewer voters a group cannot tolerate the loss of one.
constexpr std::size_t kMinVoters = 3;

class planner {
 public:
  planner(const group_configuration& current, const member_id& leader,
          const std::vector<member_health>& health,
          const raft_settings& settings)
      : current_(current),
        leader_(leader),
        health_(health),
        settings_(settings) {
    for (const group_member& member : current_.members) {
      if (member.voter) ++voters_in_[member.domain];
    }
  }

  std::optional<group_configuration> Plan() const {
    if (auto next = RemoveVoter()) return next;
    if (auto next = RemoveStandby()) return next;
    if (auto next = AddVoter()) return next;
    if (auto next = BalanceDomains()) return next;
    return std::nullopt;
  }

 private:
  const member_health* HealthOf(const member_id& id) const {
    for (const member_health& health : health_) {
      if (health.id == id) return &health;
    }
    return nullptr;
  }

  bool IsActive(const member_id& id) const {
    const member_health* health = HealthOf(id);
    return id == leader_ || (health != nullptr && health->active);
  }

  /// The VM has returned with another disk, as an active member.
  bool IsSuperseded(const member_id& id) const {
    return !IsActive(id) &&
           std::any_of(current_.members.begin(), current_.members.end(),
                       [&](const group_member& other) {
                         return other.id.vm == id.vm && other.id != id &&
                                IsActive(other.id);
                       });
  }

  bool IsLeaving(const member_id& id) const {
    const member_health* health = HealthOf(id);
    return health != nullptr && health->leaving;
  }

  bool IsUnresponsive(const member_id& id,
                      std::chrono::microseconds limit) const {
    const member_health* health = HealthOf(id);
    return id != leader_ && health != nullptr &&
           (health->unresponsive_for >= limit || IsSuperseded(id));
  }

  std::size_t VotersIn(const failure_domain_id& domain) const {
    auto it = voters_in_.find(domain);
    return it == voters_in_.end() ? 0 : it->second;
  }

  /// Returns `next` if it is a single step that the active voters of the
  /// current configuration can commit with at least `spare` votes more than the
  /// quorum. A newly promoted voter is not counted: it may just have been lost,
  /// and then the larger quorum could never be reached.
  std::optional<group_configuration> IfCommittable(group_configuration next,
                                                   std::size_t spare) const {
    std::size_t active = 0;
    for (const group_member& member : next.members) {
      if (member.voter && current_.IsVoter(member.id) && IsActive(member.id)) {
        ++active;
      }
    }
    if (active < next.quorum() + spare || !IsSingleStep(current_, next)) {
      return std::nullopt;
    }
    return next;
  }

  group_configuration Without(const member_id& id) const {
    group_configuration next = current_;
    next.Remove(id);
    return next;
  }

  group_configuration Demoted(group_member member) const {
    group_configuration next = current_;
    member.voter = false;
    next.Set(std::move(member));
    return next;
  }

  std::optional<group_configuration> Promote(group_member member) const {
    group_configuration next = current_;
    member.voter = true;
    next.Set(std::move(member));
    return IfCommittable(std::move(next), 0);
  }

  std::vector<const group_member*> Promotable() const {
    std::vector<const group_member*> found;
    for (const group_member& member : current_.members) {
      const member_health* health = HealthOf(member.id);
      if (!member.voter && health != nullptr && health->active &&
          health->caught_up && !health->leaving) {
        found.push_back(&member);
      }
    }
    std::stable_sort(found.begin(), found.end(),
                     [&](const group_member* a, const group_member* b) {
                       return VotersIn(a->domain) < VotersIn(b->domain);
                     });
    return found;
  }

  std::optional<group_configuration> RemoveVoter() const {
    for (const group_member& member : current_.members) {
      if (!member.voter || member.id == leader_) continue;
      if (IsUnresponsive(member.id, settings_.demote_after)) {
        if (auto next = RemoveUnresponsiveVoter(member)) return next;
      } else if (IsLeaving(member.id)) {
        if (auto next = RemoveLeavingVoter(member)) return next;
      }
    }
    return std::nullopt;
  }

  /// Removes or demotes the voter. With three voters or fewer, only if a
  /// standby can replace it in the next step. Promoting the standby first would
  /// raise the quorum to all remaining members.
  std::optional<group_configuration> RemoveUnresponsiveVoter(
      const group_member& member) const {
    const std::size_t voters = current_.voter_count();
    const std::vector<const group_member*> standbys = Promotable();
    if (voters <= std::max(kMinVoters, settings_.kept_voters) &&
        standbys.empty()) {
      return std::nullopt;
    }
    // The disk of a superseded voter is lost, so its vote is lost already.
    if (IsSuperseded(member.id)) return IfCommittable(Without(member.id), 0);
    if (voters <= settings_.kept_voters) return ReplaceBy(*standbys.front());
    if (IsLeaving(member.id)) return IfCommittable(Without(member.id), 0);
    return IfCommittable(Demoted(member), 0);
  }

  /// Promotes a standby before an unresponsive voter is demoted. The disk of
  /// that voter may be intact, and then its vote makes up for a disk that is
  /// lost during the repair. The standby must vote for the change itself.
  std::optional<group_configuration> ReplaceBy(group_member standby) const {
    standby.voter = true;
    group_configuration next = current_;
    next.Set(std::move(standby));
    std::size_t active = 0;
    for (const group_member& member : next.members) {
      if (member.voter && IsActive(member.id)) ++active;
    }
    if (active < next.quorum()) return std::nullopt;
    return next;
  }

  /// An active voter is removed only with one active voter to spare, because
  /// another one may just have been lost.
  std::optional<group_configuration> RemoveLeavingVoter(
      const group_member& member) const {
    if (current_.voter_count() > std::max(kMinVoters, settings_.kept_voters)) {
      return IfCommittable(Without(member.id), 1);
    }
    const std::vector<const group_member*> standbys = Promotable();
    if (standbys.empty()) return std::nullopt;
    return Promote(*standbys.front());
  }

  std::optional<group_configuration> RemoveStandby() const {
    for (const group_member& member : current_.members) {
      if (member.voter) continue;
      if (IsLeaving(member.id) ||
          IsUnresponsive(member.id, settings_.remove_after)) {
        return IfCommittable(Without(member.id), 0);
      }
    }
    return std::nullopt;
  }

  /// An even number of voters tolerates no more losses than the odd number
  /// below it, so an odd number grows by two standbys or not at all.
  std::optional<group_configuration> AddVoter() const {
    const std::size_t voters = current_.voter_count();
    if (voters >= settings_.target_voters) return std::nullopt;
    const std::vector<const group_member*> standbys = Promotable();
    const std::size_t needed = voters >= kMinVoters && voters % 2 == 1 ? 2 : 1;
    if (standbys.size() < needed) return std::nullopt;
    return Promote(*standbys.front());
  }

  std::optional<group_configuration> BalanceDomains() const {
    const auto largest = std::max_element(
        voters_in_.begin(), voters_in_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    if (largest == voters_in_.end()) return std::nullopt;
    const std::size_t voters = current_.voter_count();
    if (voters > settings_.target_voters) return DemoteVoterIn(largest->first);
    if (voters < settings_.target_voters) return std::nullopt;
    const std::vector<const group_member*> standbys = Promotable();
    if (standbys.empty() ||
        largest->second < VotersIn(standbys.front()->domain) + 2) {
      return std::nullopt;
    }
    return Promote(*standbys.front());
  }

  std::optional<group_configuration> DemoteVoterIn(
      const failure_domain_id& domain) const {
    for (const group_member& member : current_.members) {
      if (!member.voter || member.id == leader_) continue;
      if (member.domain != domain) continue;
      return IfCommittable(Demoted(member), 1);
    }
    return std::nullopt;
  }

  const group_configuration& current_;
  const member_id& leader_;
  const std::vector<member_health>& health_;
  const raft_settings& settings_;
  std::map<failure_domain_id, std::size_t> voters_in_;
};

}  // namespace

std::optional<group_configuration> PlanRepair(
    const group_configuration& current, const member_id& leader,
    const std::vector<member_health>& health, const raft_settings& settings) {
  return planner(current, leader, health, settings).Plan();
}

}  // namespace marjoramsill
