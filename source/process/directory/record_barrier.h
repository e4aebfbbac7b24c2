#ifndef MARJORAMSILL_PROCESS_DIRECTORY_RECORD_BARRIER_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_RECORD_BARRIER_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "process/directory/directory_position.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Read barrier for the endpoint records of this process. Records arrive by
/// watch requests. Without news, a process that is cut off or was suspended is
/// like one that has all of them. A decision that must not rest on old records
/// waits until this process has those that most control members had at a given
/// moment. Not thread-safe.
class record_barrier {
 public:
  /// Receives false if the records could not be confirmed in time.
  using done_hook = std::function<void(bool is_current)>;

  /// `ask`: sends a question for its position to every reachable member. The
  /// answers come back by OnPosition().
  explicit record_barrier(std::function<void()> ask);
  ~record_barrier();

  /// Replaces the control members, of which a majority counts.
  void SetMembers(std::vector<vm_id> members);
  /// This process has the member's records up to `applied`; the member had no
  /// later ones at `as_of`.
  void OnRecords(const vm_id& member, const directory_position& applied,
                 steady_time as_of);
  /// The member's answer to a question of `asked_at`. Nothing: the member is of
  /// a build without positions, so that its records count as complete.
  void OnPosition(const vm_id& member,
                  const std::optional<directory_position>& position,
                  steady_time asked_at);
  /// Moment up to which this process has the records of a majority of the
  /// members; nothing if there is none.
  std::optional<steady_time> as_of() const;
  /// As as_of(), of the member for which it is latest.
  std::optional<steady_time> latest_as_of() const;
  /// Calls `done`, now or later, once as_of() is `moment` or later. `moment` is
  /// not later than `now`.
  void Await(steady_time moment, done_hook done, steady_time now);
  /// Asks again and ends waits. Call several times a second.
  void Tick(steady_time now);

 private:
  struct member_state {
    directory_position applied;
    std::optional<steady_time> as_of;
    /// A position that this process has not applied yet.
    std::optional<directory_position> awaited;
    steady_time awaited_since;
  };
  struct waiter {
    steady_time moment;
    steady_time deadline;
    done_hook done;
  };

  static void Advance(member_state& member, steady_time as_of);
  void Ask(steady_time now);
  void FinishCurrent();
  void FinishLate(steady_time now);
  void Finish(const std::function<bool(const waiter&)>& has_ended,
              bool is_current);

  const std::function<void()> ask_;
  std::vector<vm_id> members_;
  std::map<vm_id, member_state> states_;
  std::vector<waiter> waiting_;
  std::optional<steady_time> last_asked_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_RECORD_BARRIER_H_
