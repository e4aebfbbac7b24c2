#include "process/control/outcome_history.h"

#include <utility>

namespace marjoramsill {

const recorded_outcome* outcome_history::Find(const submission_id& id) const {
  const auto it = positions_.find(id);
  return it == positions_.end() ? nullptr
                                : &entries_[it->second - removed_count_];
}

void outcome_history::Add(recorded_outcome entry) {
  positions_[entry.id] = removed_count_ + entries_.size();
  entries_.push_back(std::move(entry));
  if (entries_.size() <= kMaxOutcomes) return;
  positions_.erase(entries_.front().id);
  entries_.pop_front();
  ++removed_count_;
}

}  // namespace marjoramsill
