#include "process/control/outcome_history.h"

#include <utility>

namespace marjoramsill {

const recorded_outcome* outcome_history::Find(const submission_id& id) const {
  const auto it = positions_.find(id);
  return it == positions_.end() ? nullptr : &entries_[it->second - forgotten_];
}

void outcome_history::Add(recorded_outcome entry) {
  positions_[entry.id] = forgotten_ + entries_.size();
  entries_.push_back(std::move(entry));
  if (entries_.size() <= kMostOutcomes) return;
  positions_.erase(entries_.front().id);
  entries_.pop_front();
  ++forgotten_;
}

}  // namespace marjoramsill
