#ifndef MARJORAMSILL_PROCESS_ENTRY_STOP_SEQUENCE_H_
#define MARJORAMSILL_PROCESS_ENTRY_STOP_SEQUENCE_H_

#include <chrono>
#include <optional>

#include "types/steady_time.h"

namespace marjoramsill {

/// Phases of a planned stop, from the signal to the end of the process. New
/// connections are served first, because load balancers need some seconds to
/// notice. Then what has begun is finished. Requests that are left near the end
/// of the grace period are ended, and their callers get the rest of the time to
/// receive the responses.
class stop_sequence {
 public:
  /// `grace`: time from the signal to the end that an operator would enforce.
  explicit stop_sequence(std::chrono::milliseconds grace) : grace_(grace) {}

  /// `active_at`: last moment at which the process is known to have handled
  /// events. The signal may have come at any time since. Later signals change
  /// nothing.
  void Begin(steady_time active_at, steady_time now);
  bool has_begun() const { return since_.has_value(); }
  /// Time since the signal, if there was one.
  std::optional<std::chrono::milliseconds> Elapsed(steady_time now) const;
  /// False if the request may not end before the process does, and its sender
  /// can go elsewhere. `is_handed_on`: the sender is another entry VM, which
  /// knows others at once.
  bool CanTake(steady_time deadline, bool is_handed_on, steady_time now) const;
  /// No new connection is accepted any more.
  bool IsClosed(steady_time now) const;
  /// Requests in progress are ended.
  bool AreRequestsOver(steady_time now) const;
  /// The process ends, whatever is left.
  bool IsOver(steady_time now) const;

 private:
  const std::chrono::milliseconds grace_;
  std::optional<steady_time> since_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_STOP_SEQUENCE_H_
