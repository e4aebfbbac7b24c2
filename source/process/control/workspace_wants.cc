#include "process/control/workspace_wants.h"

#include <algorithm>
#include <utility>

namespace marjoramsill {

bool workspace_wants::Want(const section_name& name) {
  if (wanted_.contains(name)) return true;
  if (wanted_.size() >= kMostWanted) return false;
  wanted_.insert(name);
  queue_.push_back(name);
  return true;
}

void workspace_wants::Done(const section_name& name) {
  if (wanted_.erase(name) == 0) return;
  queue_.erase(std::find(queue_.begin(), queue_.end(), name));
}

std::vector<section_name> workspace_wants::Next(std::size_t most) {
  const std::size_t count = std::min(most, queue_.size());
  const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(count);
  std::vector<section_name> names(queue_.begin(), end);
  std::rotate(queue_.begin(), end, queue_.end());
  return names;
}

std::vector<section_name> workspace_wants::TakeAll() {
  wanted_.clear();
  const auto all = std::exchange(queue_, {});
  return {all.begin(), all.end()};
}

void workspace_wants::SetAbsent(const section_name& name) {
  if (!absent_.insert(name).second) return;
  absent_order_.push_back(name);
  if (absent_order_.size() <= kMostAbsent) return;
  absent_.erase(absent_order_.front());
  absent_order_.pop_front();
}

}  // namespace marjoramsill
