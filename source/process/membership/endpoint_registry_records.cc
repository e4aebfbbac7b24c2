// Exchange of lease records and evidence with other holders.

#include <algorithm>
#include <tuple>
#include <utility>

#include "process/membership/endpoint_registry.h"

namespace marjoramsill {
namespace {

constexpr std::size_t kMaxOverdue = 64;

auto RecordRank(const holder_id& holder, const lease_record& record) {
  return std::tuple(record.endpoint.incarnation, record.epoch, holder,
                    record.sequence);
}

}  // namespace

// A higher epoch means that another holder has taken over the lease. If two
// holders take over at the same time, their epochs are equal, and every VM
// prefers the greater holder id.
bool endpoint_registry::IsNewer(const registry_entry& entry,
                                const holder_id& holder,
                                const lease_record& record) const {
  return RecordRank(entry.holder, entry.record) < RecordRank(holder, record);
}

bool endpoint_registry::ApplyRecord(const holder_id& holder,
                                    const lease_record& record,
                                    steady_time now) {
  DetectFreeze(now);
  if (holder == settings_.self) return false;
  const auto found = entries_.find(record.endpoint.id);
  if (found == entries_.end()) {
    if (entries_.size() >= settings_.max_endpoints) return false;
    registry_entry& added = Add(record.endpoint);
    added.record = record;
    added.silent_since = now;
    SetHolder(added, holder);
    return true;
  }
  registry_entry& entry = found->second;
  if (!IsNewer(entry, holder, record)) {
    if (holder != entry.holder) entry.fallback.emplace(holder, record);
    return false;
  }
  // The replaced holder may outlive the new one, so keep its record.
  if (holder != entry.holder && !IsOwn(entry)) {
    entry.fallback.emplace(entry.holder, entry.record);
  }
  if (entry.fallback.has_value() && entry.fallback->first == holder) {
    entry.fallback.reset();
  }
  const bool restarted =
      entry.record.endpoint.incarnation < record.endpoint.incarnation;
  const bool returned = entry.record.silent && !record.silent;
  const endpoint_state before = entry.record.endpoint.state;
  if (restarted) {
    Restart(entry, record.endpoint, now);
  } else if (returned) {
    entry.damper.OnReturn(now);
  }
  if (record.silent && !entry.record.silent) entry.silent_since = now;
  const endpoint_load load = entry.record.endpoint.load;
  entry.record = record;
  entry.record.endpoint.load = load;
  if (!restarted) {
    entry.record.endpoint.state = std::max(before, record.endpoint.state);
  }
  entry.schedule.Reset();
  if (record.silent) entry.evidence_at.reset();
  SetHolder(entry, holder);
  ++view_number_;
  return true;
}

void endpoint_registry::RetainRecords(const holder_id& holder,
                                      const std::set<endpoint_id>& kept) {
  const auto leases = leases_by_holder_.find(holder);
  if (leases == leases_by_holder_.end() || holder == settings_.self) return;
  for (auto it = leases->second.begin(); it != leases->second.end();) {
    if (kept.contains(*it)) {
      ++it;
      continue;
    }
    const endpoint_id id = *it++;
    Remove(entries_.find(id));
    // Remove() erases the set when it becomes empty.
    if (!leases_by_holder_.contains(holder)) return;
  }
}

endpoint_registry::entry_map::iterator endpoint_registry::Remove(
    entry_map::iterator at) {
  registry_entry& entry = at->second;
  ++view_number_;
  const holder_id before = entry.holder;
  if (entry.fallback.has_value() && entry.fallback->first != before) {
    const auto [holder, record] = *std::exchange(entry.fallback, {});
    entry.record = record;
    entry.evidence_at.reset();
    entry.schedule.Reset();
    entry.silent_since = last_event_at_.value_or(steady_time{});
    SetHolder(entry, holder);
    return std::next(at);
  }
  const auto leases = leases_by_holder_.find(before);
  if (leases != leases_by_holder_.end()) {
    leases->second.erase(at->first);
    if (leases->second.empty()) leases_by_holder_.erase(leases);
  }
  return entries_.erase(at);
}

void endpoint_registry::RemoveHolder(const holder_id& holder) {
  if (holder == settings_.self) return;
  RetainRecords(holder, {});
  for (auto& [id, entry] : entries_) {
    if (entry.fallback.has_value() && entry.fallback->first == holder) {
      entry.fallback.reset();
    }
  }
}

bool endpoint_registry::ApplySummary(const holder_id& holder,
                                     const lease_summary& summary,
                                     steady_time as_of, steady_time now) {
  DetectFreeze(now);
  const auto leases = leases_by_holder_.find(holder);
  if (leases == leases_by_holder_.end()) return summary.digest == 0;
  if (LeaseDigest(leases->second) != summary.digest) return false;
  for (const endpoint_id& id : leases->second) {
    registry_entry& entry = entries_.at(id);
    const bool overdue = std::binary_search(
        summary.overdue.begin(), summary.overdue.end(), entry.record.sequence);
    if (!overdue && !entry.record.silent) {
      entry.evidence_at = std::max(entry.evidence_at.value_or(as_of), as_of);
    }
    for (const lease_load& load : summary.loads) {
      if (load.sequence == entry.record.sequence && as_of > entry.load_at) {
        entry.record.endpoint.load = {load.requests, 0};
        entry.load_at = as_of;
      }
    }
  }
  return true;
}

std::uint16_t endpoint_registry::LeaseDigest(
    const std::set<endpoint_id>& leases) const {
  std::uint64_t sum = 0;
  for (const endpoint_id& id : leases) {
    const lease_record& record = entries_.at(id).record;
    if (!record.silent) sum += (record.sequence + 1) * 0x9e3779b97f4a7c15U;
  }
  return static_cast<std::uint16_t>(sum >> 40);
}

std::vector<lease_record> endpoint_registry::RecordsOf(
    const holder_id& holder, std::uint64_t after) const {
  std::vector<lease_record> records;
  const auto leases = leases_by_holder_.find(holder);
  if (leases == leases_by_holder_.end()) return records;
  for (const endpoint_id& id : leases->second) {
    const lease_record& record = entries_.at(id).record;
    if (record.sequence > after) records.push_back(record);
  }
  std::sort(records.begin(), records.end(),
            [](const lease_record& a, const lease_record& b) {
              return a.sequence < b.sequence;
            });
  return records;
}

lease_summary endpoint_registry::BuildSummary(steady_time now) {
  lease_summary summary;
  summary.sequence = own_sequence_;
  DetectFreeze(now);
  const auto leases = leases_by_holder_.find(settings_.self);
  if (leases == leases_by_holder_.end()) return summary;
  summary.digest = LeaseDigest(leases->second);
  std::chrono::microseconds oldest{0};
  for (const endpoint_id& id : leases->second) {
    const registry_entry& entry = entries_.at(id);
    if (entry.record.silent) continue;
    const auto age = now - entry.evidence_at.value_or(now);
    // The summary has one age for all leases, so old evidence of one lease
    // would make that of all others look old.
    if (!entry.evidence_at.has_value() || age > settings_.max_evidence_age) {
      summary.overdue.push_back(entry.record.sequence);
    } else {
      oldest = std::max(oldest, age);
    }
  }
  std::sort(summary.overdue.begin(), summary.overdue.end());
  summary.age = std::chrono::ceil<std::chrono::milliseconds>(oldest);
  if (summary.overdue.size() > kMaxOverdue) {
    // After a freeze all leases are overdue. Instead of listing them all, send
    // an age at which the summary is no longer evidence.
    summary.overdue.clear();
    summary.age = settings_.evidence_limit;
  }
  AddLoads(leases->second, summary);
  return summary;
}

// Loads are sent in a rotating window, so that their size doesn't grow with the
// number of leases.
void endpoint_registry::AddLoads(const std::set<endpoint_id>& leases,
                                 lease_summary& summary) {
  const std::size_t per_summary = settings_.loads_per_summary;
  const std::size_t windows = (leases.size() + per_summary - 1) / per_summary;
  if (windows == 0) return;
  const std::size_t first = summaries_built_++ % windows * per_summary;
  auto it = std::next(leases.begin(), static_cast<std::ptrdiff_t>(first));
  for (std::size_t i = 0; i < per_summary && it != leases.end(); ++i, ++it) {
    const lease_record& record = entries_.at(*it).record;
    if (record.silent) continue;
    summary.loads.push_back({record.sequence, record.endpoint.load.total()});
  }
}

}  // namespace marjoramsill
