// Records and evidence that other holders provide.

#include <algorithm>
#include <tuple>
#include <utility>

#include "process/membership/endpoint_registry.h"

namespace marjoramsill {
namespace {

constexpr std::size_t kMaxOverdue = 64;

auto RecordRank(const holder_id& holder, const lease_record& record) {
  return std::tuple(record.endpoint.life, record.epoch, holder, record.change);
}

}  // namespace

// A later epoch is a takeover by another holder. Two holders that took over at
// the same time have equal epochs; the greater holder id wins on every VM.
bool endpoint_registry::IsNewer(const entry& known, const holder_id& holder,
                                const lease_record& record) const {
  return RecordRank(known.holder, known.record) < RecordRank(holder, record);
}

bool endpoint_registry::ApplyRecord(const holder_id& holder,
                                    const lease_record& record,
                                    steady_time now) {
  Observe(now);
  if (holder == settings_.self) return false;
  const auto found = entries_.find(record.endpoint.id);
  if (found == entries_.end()) {
    if (entries_.size() >= settings_.max_endpoints) return false;
    entry& added = Add(record.endpoint);
    added.record = record;
    added.silent_since = now;
    SetHolder(added, holder);
    return true;
  }
  entry& known = found->second;
  if (!IsNewer(known, holder, record)) {
    if (holder != known.holder) known.runner_up.emplace(holder, record);
    return false;
  }
  // The holder that loses now may turn out to be the one that lives.
  if (holder != known.holder && !IsOwn(known)) {
    known.runner_up.emplace(known.holder, known.record);
  }
  if (known.runner_up.has_value() && known.runner_up->first == holder) {
    known.runner_up.reset();
  }
  const bool restarted = known.record.endpoint.life < record.endpoint.life;
  const bool returned = known.record.silent && !record.silent;
  const endpoint_state before = known.record.endpoint.state;
  if (restarted) {
    Restart(known, record.endpoint, now);
  } else if (returned) {
    known.damper.OnReturn(now);
  }
  if (record.silent && !known.record.silent) known.silent_since = now;
  const endpoint_load load = known.record.endpoint.load;
  known.record = record;
  known.record.endpoint.load = load;
  if (!restarted) {
    known.record.endpoint.state = std::max(before, record.endpoint.state);
  }
  known.schedule.Reset();
  if (record.silent) known.evidence.reset();
  SetHolder(known, holder);
  ++view_number_;
  return true;
}

void endpoint_registry::RetainRecords(const holder_id& holder,
                                      const std::set<endpoint_id>& kept) {
  const auto held = held_.find(holder);
  if (held == held_.end() || holder == settings_.self) return;
  for (auto it = held->second.begin(); it != held->second.end();) {
    if (kept.contains(*it)) {
      ++it;
      continue;
    }
    const endpoint_id id = *it++;
    Remove(entries_.find(id));
    // Remove() drops an empty set.
    if (!held_.contains(holder)) return;
  }
}

endpoint_registry::entry_map::iterator endpoint_registry::Remove(
    entry_map::iterator at) {
  entry& known = at->second;
  ++view_number_;
  const holder_id before = known.holder;
  if (known.runner_up.has_value() && known.runner_up->first != before) {
    const auto [holder, record] = *std::exchange(known.runner_up, {});
    known.record = record;
    known.evidence.reset();
    known.schedule.Reset();
    known.silent_since = last_event_.value_or(steady_time{});
    SetHolder(known, holder);
    return std::next(at);
  }
  const auto held = held_.find(before);
  if (held != held_.end()) {
    held->second.erase(at->first);
    if (held->second.empty()) held_.erase(held);
  }
  return entries_.erase(at);
}

void endpoint_registry::DropHolder(const holder_id& holder) {
  if (holder == settings_.self) return;
  RetainRecords(holder, {});
  for (auto& [id, known] : entries_) {
    if (known.runner_up.has_value() && known.runner_up->first == holder) {
      known.runner_up.reset();
    }
  }
}

bool endpoint_registry::ApplyVouch(const holder_id& holder,
                                   const lease_vouch& vouch, steady_time as_of,
                                   steady_time now) {
  Observe(now);
  const auto held = held_.find(holder);
  if (held == held_.end()) return vouch.digest == 0;
  if (LeaseDigest(held->second) != vouch.digest) return false;
  for (const endpoint_id& id : held->second) {
    entry& known = entries_.at(id);
    const bool overdue = std::binary_search(
        vouch.overdue.begin(), vouch.overdue.end(), known.record.change);
    if (!overdue && !known.record.silent) {
      known.evidence = std::max(known.evidence.value_or(as_of), as_of);
    }
    for (const lease_load& load : vouch.loads) {
      if (load.change == known.record.change && as_of > known.load_at) {
        known.record.endpoint.load = {load.requests, 0};
        known.load_at = as_of;
      }
    }
  }
  return true;
}

std::uint16_t endpoint_registry::LeaseDigest(
    const std::set<endpoint_id>& held) const {
  std::uint64_t sum = 0;
  for (const endpoint_id& id : held) {
    const lease_record& record = entries_.at(id).record;
    if (!record.silent) sum += (record.change + 1) * 0x9e3779b97f4a7c15U;
  }
  return static_cast<std::uint16_t>(sum >> 40);
}

std::vector<lease_record> endpoint_registry::RecordsOf(
    const holder_id& holder, std::uint64_t after) const {
  std::vector<lease_record> records;
  const auto held = held_.find(holder);
  if (held == held_.end()) return records;
  for (const endpoint_id& id : held->second) {
    const lease_record& record = entries_.at(id).record;
    if (record.change > after) records.push_back(record);
  }
  std::sort(records.begin(), records.end(),
            [](const lease_record& a, const lease_record& b) {
              return a.change < b.change;
            });
  return records;
}

lease_vouch endpoint_registry::MakeVouch(steady_time now) {
  lease_vouch vouch;
  vouch.change = own_change_;
  Observe(now);
  const auto held = held_.find(settings_.self);
  if (held == held_.end()) return vouch;
  vouch.digest = LeaseDigest(held->second);
  std::chrono::microseconds oldest{0};
  for (const endpoint_id& id : held->second) {
    const entry& known = entries_.at(id);
    if (known.record.silent) continue;
    const auto age = now - known.evidence.value_or(now);
    // Older evidence than this would age the vouch for all other leases.
    if (!known.evidence.has_value() || age > settings_.longest_vouch) {
      vouch.overdue.push_back(known.record.change);
    } else {
      oldest = std::max(oldest, age);
    }
  }
  std::sort(vouch.overdue.begin(), vouch.overdue.end());
  vouch.age = std::chrono::ceil<std::chrono::milliseconds>(oldest);
  if (vouch.overdue.size() > kMaxOverdue) {
    // After a freeze all leases are overdue; a vouch this old proves nothing.
    vouch.overdue.clear();
    vouch.age = settings_.evidence_limit;
  }
  AddLoads(held->second, vouch);
  return vouch;
}

// Loads go out in a rotating window, so that their bytes don't grow with the
// number of leases.
void endpoint_registry::AddLoads(const std::set<endpoint_id>& held,
                                 lease_vouch& vouch) {
  const std::size_t per_vouch = settings_.loads_per_vouch;
  const std::size_t windows = (held.size() + per_vouch - 1) / per_vouch;
  if (windows == 0) return;
  const std::size_t first = vouches_made_++ % windows * per_vouch;
  auto it = std::next(held.begin(), static_cast<std::ptrdiff_t>(first));
  for (std::size_t i = 0; i < per_vouch && it != held.end(); ++i, ++it) {
    const lease_record& record = entries_.at(*it).record;
    if (record.silent) continue;
    vouch.loads.push_back({record.change, record.endpoint.load.total()});
  }
}

}  // namespace marjoramsill
