#ifndef MARJORAMSILL_PROCESS_CONTROL_WORKSPACE_WANTS_H_
#define MARJORAMSILL_PROCESS_CONTROL_WORKSPACE_WANTS_H_

#include <cstddef>
#include <deque>
#include <set>
#include <vector>

#include "types/ids.h"

namespace marjoramsill {

/// Workspace sections that requests wait for, and those that are known not to
/// exist. Both are bounded, because callers choose the names.
class workspace_wants {
 public:
  static constexpr std::size_t kMostWanted = 1024;
  static constexpr std::size_t kMostAbsent = 4096;

  /// False when the queue is full.
  bool Want(const section_name& name);
  void Done(const section_name& name);
  /// The next `most` names in turn, so that one that cannot be answered yet
  /// does not keep the others waiting.
  std::vector<section_name> Next(std::size_t most);
  /// All names, when the document is complete and can answer them.
  std::vector<section_name> TakeAll();
  bool empty() const { return queue_.empty(); }

  void SetAbsent(const section_name& name);
  bool IsAbsent(const section_name& name) const {
    return absent_.contains(name);
  }

 private:
  std::deque<section_name> queue_;
  std::set<section_name> wanted_;
  std::set<section_name> absent_;
  std::deque<section_name> absent_order_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_WORKSPACE_WANTS_H_
