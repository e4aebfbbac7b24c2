#ifndef MARJORAMSILL_PROCESS_ENTRY_EVACUATIONS_IN_FORCE_H_
#define MARJORAMSILL_PROCESS_ENTRY_EVACUATIONS_IN_FORCE_H_

#include <chrono>
#include <optional>

#include "process/directory/evacuation_set.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// The evacuation set that an entry process applies, and whether the leader of
/// the control group has confirmed it. The change number never decreases. The
/// times are of a clock that goes on while the process is suspended.
class evacuations_in_force {
 public:
  /// `max_age`: time for which a confirmation proves that the set is current.
  explicit evacuations_in_force(std::chrono::milliseconds max_age);

  /// Applies a set if it is newer, and returns whether it did. `as_of`: moment
  /// at which the leader had no newer one, if the set comes from the leader.
  bool Update(const evacuation_set& set, std::optional<steady_time> as_of);
  /// True if the set is proven to hold all orders that were acknowledged more
  /// than the maximum age ago.
  bool IsCurrent(steady_time now) const;
  /// False after a suspension of the process until the leader has confirmed the
  /// set, for 2 s at most: the failure domain may be cut off. Call several
  /// times a second, so that a suspension is noticed.
  bool MayServe(steady_time now);

  const evacuation_set& set() const { return set_; }

 private:
  const std::chrono::milliseconds max_age_;
  evacuation_set set_;
  std::optional<steady_time> confirmed_as_of_;
  std::optional<steady_time> last_call_;
  /// End of the suspension after which no confirmation has arrived yet.
  std::optional<steady_time> resumed_at_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_EVACUATIONS_IN_FORCE_H_
