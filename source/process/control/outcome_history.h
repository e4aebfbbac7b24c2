#ifndef MARJORAMSILL_PROCESS_CONTROL_OUTCOME_HISTORY_H_
#define MARJORAMSILL_PROCESS_CONTROL_OUTCOME_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "process/control/recorded_outcome.h"
#include "version/submission.h"

namespace marjoramsill {

/// First outcomes of the last `kMostOutcomes` signed submissions, which is
/// more than a day at 2,700 changes a day. Forgetting one is safe: an accepted
/// submission has moved its section past the base version, and versions never
/// return, so its resend gives a conflict and changes nothing.
class outcome_history {
 public:
  static constexpr std::size_t kMostOutcomes = 4096;

  /// Null when the id is not held.
  const recorded_outcome* Find(const submission_id& id) const;
  void Add(recorded_outcome entry);

  /// Oldest first.
  const std::deque<recorded_outcome>& entries() const { return entries_; }

 private:
  std::deque<recorded_outcome> entries_;
  /// Position of an id, counted from the first entry ever added.
  std::map<submission_id, std::uint64_t> positions_;
  std::uint64_t forgotten_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_OUTCOME_HISTORY_H_
