#include "process/directory/endpoint_directory.h"

#include <utility>

namespace marjoramsill {
namespace {

/// Heartbeats differ in their number and the time left to warm up; neither
/// matters to others while the rest is the same.
bool IsSameToOthers(const endpoint_record& a, const endpoint_record& b) {
  return a.born == b.born && a.phase == b.phase && a.address == b.address &&
         a.pool == b.pool && a.slots == b.slots && a.domain == b.domain;
}

bool HasEnded(endpoint_phase phase) {
  return phase == endpoint_phase::kLeaving || phase == endpoint_phase::kGone;
}

}  // namespace

endpoint_directory::endpoint_directory(directory_settings settings)
    : settings_(settings) {}

bool endpoint_directory::Hear(const endpoint_record& record, steady_time now) {
  return Store(record, true, now);
}

bool endpoint_directory::Merge(const endpoint_record& record, steady_time now) {
  return Store(record, false, now);
}

bool endpoint_directory::End(const endpoint_id& id, incarnation wall_now,
                             steady_time now) {
  endpoint_record ended;
  if (const endpoint_record* known = Find(id)) {
    ended = *known;
    if (ended.phase == endpoint_phase::kGone) return false;
    ++ended.sequence;
  } else {
    ended.id = id;
    ended.born = wall_now;
  }
  ended.phase = endpoint_phase::kGone;
  return Store(ended, true, now);
}

bool endpoint_directory::Store(const endpoint_record& record, bool heard_here,
                               steady_time now) {
  const auto [found, added] = entries_.try_emplace(record.id);
  entry& known = found->second;
  if (!added) {
    const bool newer = IsNewer(record, known.record);
    const bool same_beat = record.born == known.record.born &&
                           record.sequence == known.record.sequence;
    // The process that heard the last heartbeat may call it silent.
    const bool falls_silent = same_beat && !heard_here &&
                              record.phase == endpoint_phase::kSilent &&
                              known.record.phase == endpoint_phase::kReady;
    if (!newer && !falls_silent) return false;
    // A life that has announced its end never becomes ready again, whatever
    // the order in which its heartbeats arrive.
    if (record.born == known.record.born && HasEnded(known.record.phase) &&
        record.phase < known.record.phase) {
      known.heard_at = now;
      return false;
    }
  }
  const bool is_news = added || !IsSameToOthers(record, known.record);
  // The process that heard the heartbeats so far must not call it silent.
  const bool takes_over = !added && heard_here && !known.heard_here;
  known.record = record;
  known.heard_here = heard_here;
  known.heard_at = now;
  if (is_news || takes_over) NoteChange(known);
  if (is_news) EndOthersAt(record, now);
  return is_news;
}

void endpoint_directory::NoteChange(entry& changed) {
  if (changed.change != 0) changes_.erase(changed.change);
  changed.change = ++last_change_;
  changes_.emplace(last_change_, changed.record.id);
}

void endpoint_directory::EndOthersAt(const endpoint_record& record,
                                     steady_time now) {
  if (record.phase != endpoint_phase::kReady) return;
  for (auto& [id, other] : entries_) {
    if (id == record.id || other.record.address != record.address) continue;
    if (other.record.phase == endpoint_phase::kGone) continue;
    if (other.record.born > record.born) {
      // The record is a late one of an earlier holder of the address.
      entry& late = entries_.find(record.id)->second;
      late.record.phase = endpoint_phase::kGone;
      NoteChange(late);
      return;
    }
    other.record.phase = endpoint_phase::kGone;
    other.heard_at = now;
    NoteChange(other);
  }
}

bool endpoint_directory::ForgetsAt(const entry& old, steady_time now) const {
  const auto age = now - old.heard_at;
  switch (old.record.phase) {
    case endpoint_phase::kReady:
      return false;
    case endpoint_phase::kSilent:
      return age > settings_.forget_silent_after;
    case endpoint_phase::kLeaving:
    case endpoint_phase::kGone:
      return age > settings_.forget_gone_after;
  }
  return false;
}

bool endpoint_directory::Expire(steady_time now) {
  bool changed = false;
  for (auto it = entries_.begin(); it != entries_.end();) {
    entry& known = it->second;
    if (known.heard_here && known.record.phase == endpoint_phase::kReady &&
        now - known.heard_at > settings_.silent_after) {
      known.record.phase = endpoint_phase::kSilent;
      NoteChange(known);
      changed = true;
    }
    if (ForgetsAt(known, now)) {
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

const endpoint_record* endpoint_directory::Find(const endpoint_id& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second.record;
}

}  // namespace marjoramsill
