#ifndef MARJORAMSILL_PROCESS_PLACEMENT_SESSION_FINDER_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_SESSION_FINDER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>
#include <vector>

#include "process/placement/prompt_part.h"
#include "process/placement/smoothed_value.h"

namespace marjoramsill {

/// Tells which leading parts of a prompt other requests are likely to share.
/// The last part belongs either to the session, and comes again, or to the one
/// request. Which of the two holds is learnt from the requests seen.
class session_finder {
 public:
  session_finder();

  /// Number of leading parts that are expected to come again.
  std::size_t SharedParts(const std::vector<prompt_part>& parts) const;
  /// A request with these parts has arrived.
  void Note(const std::vector<prompt_part>& parts);

 private:
  std::unordered_set<std::uint64_t> seen_;
  std::deque<std::uint64_t> order_;
  smoothed_value repeats_;
};

/// Identifies the first `count` parts in their order.
std::uint64_t ChainOf(const std::vector<prompt_part>& parts, std::size_t count);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_SESSION_FINDER_H_
