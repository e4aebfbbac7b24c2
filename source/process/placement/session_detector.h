#ifndef MARJORAMSILL_PROCESS_PLACEMENT_SESSION_DETECTOR_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_SESSION_DETECTOR_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>
#include <vector>

#include "process/placement/prompt_part.h"
#include "process/placement/smoothed_value.h"

namespace marjoramsill {

/// Estimates which leading parts of a prompt other requests share. The last
/// part of a prompt either identifies a session, so that later requests repeat
/// it, or belongs to one request only. The share of repeated prompts among the
/// recorded requests decides which of the two is assumed.
class session_detector {
 public:
  session_detector();

  /// Number of leading parts that later requests are expected to repeat.
  std::size_t SharedParts(const std::vector<prompt_part>& parts) const;
  /// A request with these parts has arrived.
  void Record(const std::vector<prompt_part>& parts);

 private:
  std::unordered_set<std::uint64_t> seen_;
  /// Hashes in `seen_`, oldest first.
  std::deque<std::uint64_t> order_;
  smoothed_value repeat_share_;
};

/// Hash of the first `count` parts, or of all parts if there are fewer.
std::uint64_t PrefixHash(const std::vector<prompt_part>& parts,
                         std::size_t count);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_SESSION_DETECTOR_H_
