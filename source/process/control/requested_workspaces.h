#ifndef MARJORAMSILL_PROCESS_CONTROL_REQUESTED_WORKSPACES_H_
#define MARJORAMSILL_PROCESS_CONTROL_REQUESTED_WORKSPACES_H_

#include <cstddef>
#include <deque>
#include <set>
#include <vector>

#include "types/ids.h"

namespace marjoramsill {

/// Names of workspace sections that requests wait for, and of those known not
/// to exist. Both lists are bounded, because callers choose the names.
class requested_workspaces {
 public:
  static constexpr std::size_t kMaxRequested = 1024;
  static constexpr std::size_t kMaxAbsent = 4096;

  /// False when the queue is full.
  bool Add(const section_name& name);
  void Remove(const section_name& name);
  /// Up to `max_count` names in round-robin order, so that a name that cannot
  /// be resolved yet does not block the others.
  std::vector<section_name> Next(std::size_t max_count);
  /// Removes and returns all names.
  std::vector<section_name> TakeAll();
  bool empty() const { return queue_.empty(); }

  void SetAbsent(const section_name& name);
  bool IsAbsent(const section_name& name) const {
    return absent_.contains(name);
  }

 private:
  std::deque<section_name> queue_;
  std::set<section_name> names_;
  std::set<section_name> absent_;
  std::deque<section_name> absent_order_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_REQUESTED_WORKSPACES_H_
