#include "process/control/requested_workspaces.h"

#include <algorithm>
#include <utility>

namespace marjoramsill {

bool requested_workspaces::Add(const section_name& name) {
  if (names_.contains(name)) return true;
  if (names_.size() >= kMaxRequested) return false;
  names_.insert(name);
  queue_.push_back(name);
  return true;
}

void requested_workspaces::Remove(const section_name& name) {
  if (names_.erase(name) == 0) return;
  queue_.erase(std::find(queue_.begin(), queue_.end(), name));
}

std::vector<section_name> requested_workspaces::Next(std::size_t max_count) {
  const std::size_t count = std::min(max_count, queue_.size());
  const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(count);
  std::vector<section_name> names(queue_.begin(), end);
  std::rotate(queue_.begin(), end, queue_.end());
  return names;
}

std::vector<section_name> requested_workspaces::TakeAll() {
  names_.clear();
  const auto all = std::exchange(queue_, {});
  return {all.begin(), all.end()};
}

void requested_workspaces::SetAbsent(const section_name& name) {
  if (!absent_.insert(name).second) return;
  absent_order_.push_back(name);
  if (absent_order_.size() <= kMaxAbsent) return;
  absent_.erase(absent_order_.front());
  absent_order_.pop_front();
}

}  // namespace marjoramsill
