#ifndef MARJORAMSILL_PROCESS_PLACEMENT_OWN_CALL_HISTORY_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_OWN_CALL_HISTORY_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include "types/steady_time.h"

namespace marjoramsill {

/// The latest starts and ends of this entry VM's calls to one endpoint. A load
/// report of another VM is some time old, and does not include what this VM has
/// sent or seen end since.
class own_call_history {
 public:
  /// `change`: 1 for a start, -1 for an end.
  void Add(std::int8_t change, steady_time now) {
    events_[next_ % kMaxEvents] = {now, change};
    ++next_;
  }
  /// Position after the last event.
  std::size_t end() const { return next_; }
  /// Position of the first known event after this time.
  std::size_t FirstAfter(steady_time then) const {
    std::size_t first = next_;
    while (first > oldest() && events_[(first - 1) % kMaxEvents].at > then) {
      --first;
    }
    return first;
  }
  /// Calls in progress now less those at an earlier position. Older events than
  /// the last kMaxEvents are not known and count as none.
  int ChangeSince(std::size_t position) const {
    int change = 0;
    for (std::size_t i = std::max(position, oldest()); i < next_; ++i) {
      change += events_[i % kMaxEvents].change;
    }
    return change;
  }

 private:
  static constexpr std::size_t kMaxEvents = 32;

  struct event {
    steady_time at;
    std::int8_t change = 0;
  };

  std::size_t oldest() const {
    return next_ < kMaxEvents ? 0 : next_ - kMaxEvents;
  }

  std::array<event, kMaxEvents> events_{};
  std::size_t next_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_OWN_CALL_HISTORY_H_
