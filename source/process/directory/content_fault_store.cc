#include "process/directory/content_fault_store.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace marjoramsill {
namespace {

using std::chrono::seconds;

/// About 2 MB with their indexes.
constexpr std::size_t kMaxParts = 4'096;
/// Largest number of records in one message, and of the ends in them after
/// which no further record is added, about 4 KB in all.
constexpr std::size_t kMaxTaken = 64;
constexpr std::size_t kMaxTakenEnds = 512;
/// A single end is forgotten after this time. Requests that crash
/// endpoints arrive more often than that.
constexpr seconds kSingleEndLifetime{30};
/// Other records are kept this long after the last change or refresh.
constexpr seconds kLifetime{600};
constexpr seconds kRefreshInterval{60};

bool IsShared(const content_fault& fault) {
  return fault.clearances > 0 || fault.ends.size() >= kSharedEnds;
}

/// Returns whether `ends` has changed.
bool AddEnds(std::vector<endpoint_run_digest>& ends,
             const std::vector<endpoint_run_digest>& added) {
  bool changed = false;
  for (const endpoint_run_digest run : added) {
    const auto at = std::lower_bound(ends.begin(), ends.end(), run);
    if (at != ends.end() && *at == run) continue;
    if (ends.size() == kMaxContentEnds) return changed;
    ends.insert(at, run);
    changed = true;
  }
  return changed;
}

}  // namespace

void content_fault_store::RecordEnd(content_digest content,
                                    endpoint_run_digest run, steady_time now) {
  const content_fault* known = Find(content);
  Merge({content, known == nullptr ? 0 : known->clearances, {run}}, now);
}

void content_fault_store::Clear(content_digest content, steady_time now) {
  const auto found = entries_.find(content);
  if (found == entries_.end() || found->second.fault.ends.empty()) return;
  ++found->second.fault.clearances;
  found->second.fault.ends.clear();
  RecordChange(found->second, now);
}

void content_fault_store::Merge(const content_fault& fault, steady_time now) {
  const auto found = entries_.find(fault.content);
  const bool is_new = found == entries_.end();
  entry& known = is_new ? Insert(fault.content) : found->second;
  if (fault.clearances < known.fault.clearances) {
    RecordChange(known, now);
    return;
  }
  if (is_new || fault.clearances > known.fault.clearances) {
    known.fault.clearances = fault.clearances;
    known.fault.ends.clear();
    AddEnds(known.fault.ends, fault.ends);
    RecordChange(known, now);
  } else if (AddEnds(known.fault.ends, fault.ends)) {
    RecordChange(known, now);
  } else {
    Refresh(fault.content, now);
  }
}

void content_fault_store::Refresh(content_digest content, steady_time now) {
  const auto found = entries_.find(content);
  if (found == entries_.end()) return;
  if (now - found->second.updated_at < kRefreshInterval) return;
  RecordChange(found->second, now);
}

const content_fault* content_fault_store::Find(content_digest content) const {
  const auto found = entries_.find(content);
  return found == entries_.end() ? nullptr : &found->second.fault;
}

std::unordered_set<endpoint_run_digest> content_fault_store::EndsOfOthers(
    std::size_t least_ends, const std::vector<content_digest>& excluded) const {
  std::unordered_set<endpoint_run_digest> found;
  for (const auto& [content, known] : entries_) {
    const std::vector<endpoint_run_digest>& ends = known.fault.ends;
    if (ends.size() < least_ends) continue;
    const auto at = std::find(excluded.begin(), excluded.end(), content);
    if (at == excluded.end()) found.insert(ends.begin(), ends.end());
  }
  return found;
}

content_fault_store::entry& content_fault_store::Insert(
    content_digest content) {
  if (entries_.size() >= kMaxParts) DropLeastSuspected();
  entry& added = entries_[content];
  added.fault.content = content;
  return added;
}

void content_fault_store::DropLeastSuspected() {
  const auto least = std::min_element(
      entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
        const std::size_t ends_of_a = a.second.fault.ends.size();
        const std::size_t ends_of_b = b.second.fault.ends.size();
        if (ends_of_a != ends_of_b) return ends_of_a < ends_of_b;
        return a.second.updated_at < b.second.updated_at;
      });
  changes_.erase(least->second.change);
  entries_.erase(least);
}

void content_fault_store::RecordChange(entry& changed, steady_time now) {
  if (changed.change != 0) changes_.erase(changed.change);
  changed.change = ++last_change_;
  changed.updated_at = now;
  changes_.emplace(last_change_, changed.fault.content);
  if (changed.fault.ends.size() >= kUrgentEnds) {
    last_urgent_change_ = last_change_;
  }
}

std::vector<content_fault> content_fault_store::Take(std::uint64_t& number,
                                                     bool shared_only) const {
  std::vector<content_fault> taken;
  std::size_t ends = 0;
  auto it = changes_.upper_bound(number);
  for (; it != changes_.end(); ++it) {
    if (taken.size() == kMaxTaken || ends >= kMaxTakenEnds) break;
    const content_fault& fault = entries_.find(it->second)->second.fault;
    number = it->first;
    if (shared_only && !IsShared(fault)) continue;
    taken.push_back(fault);
    ends += fault.ends.size();
  }
  return taken;
}

std::vector<content_fault> content_fault_store::TakeAfter(
    std::uint64_t& number) const {
  return Take(number, false);
}

std::vector<content_fault> content_fault_store::TakeSharedAfter(
    std::uint64_t& number) const {
  return Take(number, true);
}

void content_fault_store::Expire(steady_time now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const entry& known = it->second;
    const seconds lifetime =
        IsShared(known.fault) ? kLifetime : kSingleEndLifetime;
    if (now - known.updated_at > lifetime) {
      changes_.erase(known.change);
      it = entries_.erase(it);
    } else {
      ++it;
    }
  }
}

}  // namespace marjoramsill
