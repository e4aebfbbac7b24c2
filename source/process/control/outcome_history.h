#ifndef MARJORAMSILL_PROCESS_CONTROL_OUTCOME_HISTORY_H_
#define MARJORAMSILL_PROCESS_CONTROL_OUTCOME_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "process/control/recorded_outcome.h"
#include "version/submission.h"

namespace marjoramsill {

/// First outcomes of the last `kMaxOutcomes` correctly signed submissions,
/// which is more than a day at 2,700 changes a day. Removing an outcome is
/// safe: an accepted submission moved its section past the base version, and
/// versions only increase, so a resend results in a conflict and changes
/// nothing.
class outcome_history {
 public:
  static constexpr std::size_t kMaxOutcomes = 4096;

  /// Null when there is no outcome for the id.
  const recorded_outcome* Find(const submission_id& id) const;
  void Add(recorded_outcome entry);

  /// Oldest first.
  const std::deque<recorded_outcome>& entries() const { return entries_; }

 private:
  std::deque<recorded_outcome> entries_;
  /// Position of an id in `entries_` plus `removed_count_`.
  std::map<submission_id, std::uint64_t> positions_;
  std::uint64_t removed_count_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_OUTCOME_HISTORY_H_
