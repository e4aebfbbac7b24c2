#ifndef MARJORAMSILL_PROCESS_ADMISSION_LIMIT_ARBITER_H_
#define MARJORAMSILL_PROCESS_ADMISSION_LIMIT_ARBITER_H_

#include <chrono>
#include <cstdint>
#include <unordered_map>

#include "process/admission/limit_types.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Votes on who allocates the limits of a workspace: a licence goes to one
/// candidate at a time. Two majorities of the same arbiters have one arbiter in
/// common, so at most one candidate has a majority at any time.
class limit_arbiter {
 public:
  struct answer {
    bool granted = false;
    /// Time until concurrency given out by another allocator has ended.
    std::chrono::microseconds unsafe{0};
  };

  /// Earlier licences are unknown at start, so none is given before one
  /// licence time has passed.
  limit_arbiter(const limit_settings& settings, steady_time start);

  answer Ask(const workspace_id& workspace, const vm_id& from,
             std::uint64_t life, steady_time now);
  /// The workspace's arbiters changed: none of the new ones knows the licences
  /// of the old ones.
  void Refuse(const workspace_id& workspace, steady_time until);
  void Forget(steady_time now);
  std::size_t size() const { return licences_.size(); }

 private:
  struct licence {
    vm_id to;
    std::uint64_t life = 0;
    steady_time until;
    /// End of the last licence of another candidate.
    steady_time other_until;
  };

  limit_settings settings_;
  steady_time start_;
  std::unordered_map<workspace_id, licence> licences_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_LIMIT_ARBITER_H_
