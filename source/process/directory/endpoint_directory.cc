#include "process/directory/endpoint_directory.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace marjoramsill {
namespace {

/// Heartbeats arrive with a delay that varies. A warm-up whose end moves by
/// less than this time has not changed.
constexpr std::chrono::milliseconds kColdTolerance{200};

/// True if watchers need not receive the change from `a` to `b`. The sequence
/// number, which differs between heartbeats, does not matter to them. Whether
/// the endpoint is cold is compared by time, see Store().
bool IsSameForWatchers(const endpoint_record& a, const endpoint_record& b) {
  return a.incarnation == b.incarnation && a.phase == b.phase &&
         a.address == b.address && a.pool == b.pool && a.slots == b.slots &&
         a.domain == b.domain && a.software == b.software;
}

bool HasSameSoftware(const endpoint_record& a, const endpoint_record& b) {
  return a.pool == b.pool && a.software == b.software;
}

/// An announced end counts whatever its number among the heartbeats: an end
/// that was requested of a control process has no heartbeat of its own, and a
/// late heartbeat may have the same number or a greater one.
bool AnnouncesEnd(const endpoint_record& record, const endpoint_record& known) {
  return record.incarnation == known.incarnation &&
         IsLeavingOrEnded(record.phase) && record.phase > known.phase;
}

/// A record of an end may lack the fields that are not needed for one. Those of
/// earlier builds lack the pool and the software too.
void Complete(endpoint_record& record, const endpoint_record& known) {
  const bool is_short =
      record.phase == endpoint_phase::kEnded && record.address.empty();
  if (!is_short || record.incarnation != known.incarnation) return;
  record.pool = known.pool;
  record.address = known.address;
  record.domain = known.domain;
  record.software = known.software;
  record.slots = known.slots;
}

}  // namespace

endpoint_directory::endpoint_directory(directory_settings settings)
    : settings_(settings) {}

bool endpoint_directory::ReceiveHeartbeat(const endpoint_record& record,
                                          steady_time now) {
  return Store(record, true, now);
}

bool endpoint_directory::Merge(const endpoint_record& record, steady_time now) {
  return Store(record, false, now);
}

bool endpoint_directory::End(const endpoint_id& id, incarnation_number wall_now,
                             steady_time now) {
  endpoint_record ended;
  if (const endpoint_record* known = Find(id)) {
    ended = *known;
    if (ended.phase == endpoint_phase::kEnded) return false;
    ++ended.sequence;
  } else {
    ended.id = id;
    ended.incarnation = wall_now;
  }
  ended.phase = endpoint_phase::kEnded;
  return Store(ended, true, now);
}

bool endpoint_directory::Store(endpoint_record record, bool received_here,
                               steady_time now) {
  const auto [found, added] = entries_.try_emplace(record.id);
  entry& known = found->second;
  if (!added) {
    Complete(record, known.record);
    const bool newer =
        IsNewer(record, known.record) || AnnouncesEnd(record, known.record);
    const bool same_heartbeat =
        record.incarnation == known.record.incarnation &&
        record.sequence == known.record.sequence;
    // The process that received the newest heartbeat marks the endpoint as
    // silent without a new heartbeat.
    const bool becomes_silent = same_heartbeat && !received_here &&
                                record.phase == endpoint_phase::kSilent &&
                                known.record.phase == endpoint_phase::kReady;
    if (!newer && !becomes_silent) return false;
    // An incarnation that has announced its end never becomes ready
    // again, whatever the order in which its heartbeats arrive.
    if (record.incarnation == known.record.incarnation &&
        IsLeavingOrEnded(known.record.phase) &&
        record.phase < known.record.phase) {
      known.received_at = now;
      return false;
    }
  }
  const bool may_serve = !IsLeavingOrEnded(record.phase);
  const steady_time cold_until =
      now + std::chrono::milliseconds(may_serve ? record.cold_ms : 0);
  const steady_time announced = known.announced_cold_until;
  const bool is_colder =
      cold_until > now && cold_until > announced + kColdTolerance;
  const bool is_warmer = announced > now + kColdTolerance &&
                         cold_until + kColdTolerance < announced;
  // Entry VMs send nothing to an endpoint that is new or had ended.
  const bool was_serving = !added && !IsLeavingOrEnded(known.record.phase);
  const bool is_changed = added || is_colder || is_warmer ||
                          !IsSameForWatchers(record, known.record);
  // The process that received the heartbeats so far must not mark the endpoint
  // as silent, so it has to receive this record.
  const bool takes_over = !added && received_here && !known.received_here;
  if (!added && !HasSameSoftware(record, known.record)) {
    former_software_.Record(known.record, now);
  }
  if (!added) digest_.Toggle(known.record);
  known.record = record;
  digest_.Toggle(known.record);
  known.received_here = received_here;
  known.received_at = now;
  known.cold_until = cold_until;
  if (is_changed || takes_over) RecordChange(known);
  if (is_colder && was_serving) last_urgent_ = last_change_;
  if (is_changed) EndOthersAt(record, now);
  return is_changed;
}

void endpoint_directory::RecordChange(entry& changed) {
  if (changed.change != 0) changes_.erase(changed.change);
  changed.change = ++last_change_;
  changes_.emplace(last_change_, changed.record.id);
  changed.announced_cold_until = changed.cold_until;
  if (!IsLeavingOrEnded(changed.record.phase)) return;
  last_ending_ = last_change_;
  last_urgent_ = last_change_;
}

void endpoint_directory::SetPhase(entry& known, endpoint_phase phase) {
  digest_.Toggle(known.record);
  known.record.phase = phase;
  digest_.Toggle(known.record);
  RecordChange(known);
}

void endpoint_directory::EndOthersAt(const endpoint_record& record,
                                     steady_time now) {
  if (record.phase != endpoint_phase::kReady) return;
  for (auto& [id, other] : entries_) {
    if (id == record.id || other.record.address != record.address) continue;
    if (other.record.phase == endpoint_phase::kEnded) continue;
    if (other.record.incarnation > record.incarnation) {
      // The record is a late one from an earlier owner of the address.
      SetPhase(entries_.find(record.id)->second, endpoint_phase::kEnded);
      return;
    }
    other.received_at = now;
    SetPhase(other, endpoint_phase::kEnded);
  }
}

std::vector<endpoint_record> endpoint_directory::OtherPoolsAt(
    const endpoint_record& record) const {
  std::vector<endpoint_record> found;
  for (const auto& [id, other] : entries_) {
    const bool is_other = id != record.id && other.record.pool != record.pool;
    const bool is_ready = other.record.phase == endpoint_phase::kReady;
    if (is_other && is_ready && other.record.address == record.address) {
      found.push_back(other.record);
    }
  }
  return found;
}

heartbeat_state endpoint_directory::HeartbeatsSince(
    const endpoint_id& id, incarnation_number incarnation,
    steady_time moment) const {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return heartbeat_state::kUnknown;
  const entry& known = found->second;
  if (known.record.incarnation > incarnation ||
      known.record.phase == endpoint_phase::kEnded) {
    return heartbeat_state::kStopped;
  }
  if (!known.received_here || known.record.incarnation != incarnation) {
    return heartbeat_state::kUnknown;
  }
  if (known.received_at > moment) return heartbeat_state::kContinues;
  const bool receives_others =
      std::any_of(entries_.begin(), entries_.end(), [&](const auto& item) {
        const entry& other = item.second;
        return other.received_here && other.received_at > moment &&
               other.record.phase == endpoint_phase::kReady &&
               other.record.domain == known.record.domain;
      });
  return receives_others ? heartbeat_state::kStopped
                         : heartbeat_state::kUnknown;
}

bool endpoint_directory::IsExpired(const entry& old, steady_time now) const {
  const auto age = now - old.received_at;
  switch (old.record.phase) {
    case endpoint_phase::kReady:
      return false;
    case endpoint_phase::kSilent:
      return age > settings_.remove_silent_after;
    case endpoint_phase::kLeaving:
    case endpoint_phase::kEnded:
      return age > settings_.remove_ended_after;
  }
  return false;
}

bool endpoint_directory::Expire(steady_time now) {
  bool changed = false;
  former_software_.Expire(now);
  for (auto it = entries_.begin(); it != entries_.end();) {
    entry& known = it->second;
    if (known.received_here && known.record.phase == endpoint_phase::kReady &&
        now - known.received_at > settings_.silent_after) {
      SetPhase(known, endpoint_phase::kSilent);
      changed = true;
    }
    if (IsExpired(known, now)) {
      former_software_.Record(known.record, known.received_at);
      digest_.Toggle(known.record);
      changes_.erase(known.change);
      it = entries_.erase(it);
    } else {
      ++it;
    }
  }
  return changed;
}

std::vector<endpoint_record> endpoint_directory::ChangesAfter(
    std::uint64_t change) const {
  std::vector<endpoint_record> found;
  for (auto it = changes_.upper_bound(change); it != changes_.end(); ++it) {
    found.push_back(entries_.find(it->second)->second.record);
  }
  return found;
}

std::vector<endpoint_record> endpoint_directory::EndingsAfter(
    std::uint64_t change) const {
  std::vector<endpoint_record> found = ChangesAfter(change);
  std::erase_if(found, [](const endpoint_record& record) {
    return !IsLeavingOrEnded(record.phase);
  });
  return found;
}

bool endpoint_directory::IsCold(const endpoint_id& id, steady_time now) const {
  const auto found = entries_.find(id);
  return found != entries_.end() && found->second.cold_until > now &&
         !IsLeavingOrEnded(found->second.record.phase);
}

std::vector<endpoint_record> endpoint_directory::UrgentAfter(
    std::uint64_t change, steady_time now) const {
  std::vector<endpoint_record> found = ChangesAfter(change);
  std::erase_if(found, [this, now](const endpoint_record& record) {
    return !IsLeavingOrEnded(record.phase) && !IsCold(record.id, now);
  });
  return found;
}

void endpoint_directory::AppendCold(std::vector<endpoint_record>& records,
                                    steady_time now) const {
  std::set<endpoint_id> present;
  for (const endpoint_record& record : records) present.insert(record.id);
  for (const auto& [id, known] : entries_) {
    if (IsCold(id, now) && !present.contains(id)) {
      records.push_back(known.record);
    }
  }
}

void endpoint_directory::SetRemainingCold(std::vector<endpoint_record>& records,
                                          steady_time now) const {
  for (endpoint_record& record : records) {
    record.cold_ms = 0;
    if (!IsCold(record.id, now)) continue;
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
        entries_.find(record.id)->second.cold_until - now);
    record.cold_ms = static_cast<std::uint32_t>(left.count());
  }
}

std::vector<endpoint_record> endpoint_directory::Present() const {
  std::vector<endpoint_record> found = ChangesAfter(0);
  std::erase_if(found, [](const endpoint_record& record) {
    return record.phase == endpoint_phase::kEnded;
  });
  return found;
}

std::vector<endpoint_record> endpoint_directory::DifferencesFrom(
    const std::vector<std::uint64_t>& digests) const {
  std::vector<endpoint_record> found = ChangesAfter(0);
  std::erase_if(found, [this, &digests](const endpoint_record& record) {
    return !digest_.Differs(digests, endpoint_set_digest::PartOf(record.id));
  });
  return found;
}

std::vector<software_presence> endpoint_directory::AllFormerSoftware(
    steady_time now) const {
  software_history all = former_software_;
  for (const auto& [id, known] : entries_) {
    if (known.record.phase == endpoint_phase::kEnded) {
      all.Record(known.record, known.received_at);
    }
  }
  return all.All(now);
}

std::size_t endpoint_directory::CountPresent() const {
  const auto is_present = [](const auto& item) {
    return item.second.record.phase != endpoint_phase::kEnded;
  };
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(), is_present));
}

const endpoint_record* endpoint_directory::Find(const endpoint_id& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second.record;
}

}  // namespace marjoramsill
