#include "process/replication/repair_plan.h"

#include <algorithm>
#include <map>

namespace marjoramsill {
namespace {

/// With fewer voters a group does not survive the loss of one.
constexpr std::size_t kFewestVoters = 3;

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
    if (auto next = DropVoter()) return next;
    if (auto next = DropStandby()) return next;
    if (auto next = FillUp()) return next;
    if (auto next = Spread()) return next;
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

  /// The VM has come back with another disk.
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

  bool IsSilent(const member_id& id, std::chrono::microseconds limit) const {
    const member_health* health = HealthOf(id);
    return id != leader_ && health != nullptr &&
           (health->silent_for >= limit || IsSuperseded(id));
  }

  std::size_t VotersIn(const failure_domain_id& domain) const {
    auto it = voters_in_.find(domain);
    return it == voters_in_.end() ? 0 : it->second;
  }

  /// A step is taken only if the present voters that answer can commit it
  /// without a newly promoted one, and `spare` more answer. A promoted one may
  /// just have been lost, and then a larger quorum could never be reached.
  std::optional<group_configuration> Checked(group_configuration next,
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
    return Checked(std::move(next), 0);
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

  std::optional<group_configuration> DropVoter() const {
    for (const group_member& member : current_.members) {
      if (!member.voter || member.id == leader_) continue;
      if (IsSilent(member.id, settings_.demote_after)) {
        if (auto next = DropSilent(member)) return next;
      } else if (IsLeaving(member.id)) {
        if (auto next = DropLeaving(member)) return next;
      }
    }
    return std::nullopt;
  }

  /// With three voters or fewer the voter is dropped only when a standby takes
  /// its place in the next step. Promoting first would raise the quorum to all
  /// members that are left.
  std::optional<group_configuration> DropSilent(
      const group_member& member) const {
    if (current_.voter_count() <= kFewestVoters && Promotable().empty()) {
      return std::nullopt;
    }
    if (IsLeaving(member.id) || IsSuperseded(member.id)) {
      return Checked(Without(member.id), 0);
    }
    return Checked(Demoted(member), 0);
  }

  /// A voter that still answers is dropped only with one answering voter to
  /// spare, because another one may have been lost a moment ago.
  std::optional<group_configuration> DropLeaving(
      const group_member& member) const {
    if (current_.voter_count() > kFewestVoters) {
      return Checked(Without(member.id), 1);
    }
    const std::vector<const group_member*> standbys = Promotable();
    if (standbys.empty()) return std::nullopt;
    return Promote(*standbys.front());
  }

  std::optional<group_configuration> DropStandby() const {
    for (const group_member& member : current_.members) {
      if (member.voter) continue;
      if (IsLeaving(member.id) || IsSilent(member.id, settings_.remove_after)) {
        return Checked(Without(member.id), 0);
      }
    }
    return std::nullopt;
  }

  /// An even number of voters survives no more losses than one fewer, so an
  /// odd number grows by two standbys or not at all.
  std::optional<group_configuration> FillUp() const {
    const std::size_t voters = current_.voter_count();
    if (voters >= settings_.target_voters) return std::nullopt;
    const std::vector<const group_member*> standbys = Promotable();
    const std::size_t needed =
        voters >= kFewestVoters && voters % 2 == 1 ? 2 : 1;
    if (standbys.size() < needed) return std::nullopt;
    return Promote(*standbys.front());
  }

  std::optional<group_configuration> Spread() const {
    const auto crowded = std::max_element(
        voters_in_.begin(), voters_in_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    if (crowded == voters_in_.end()) return std::nullopt;
    const std::size_t voters = current_.voter_count();
    if (voters > settings_.target_voters) return DemoteIn(crowded->first);
    if (voters < settings_.target_voters) return std::nullopt;
    const std::vector<const group_member*> standbys = Promotable();
    if (standbys.empty() ||
        crowded->second < VotersIn(standbys.front()->domain) + 2) {
      return std::nullopt;
    }
    return Promote(*standbys.front());
  }

  std::optional<group_configuration> DemoteIn(
      const failure_domain_id& domain) const {
    for (const group_member& member : current_.members) {
      if (!member.voter || member.id == leader_) continue;
      if (member.domain != domain) continue;
      return Checked(Demoted(member), 1);
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
