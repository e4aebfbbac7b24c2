#ifndef MARJORAMSILL_PROCESS_DIRECTORY_PROGRESS_STORE_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_PROGRESS_STORE_H_

#include <map>
#include <vector>

#include "process/directory/fleet_progress.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Adds up the requests that the entry VMs have in progress. Each entry VM
/// reports to one control process, and control processes report the sums of
/// their entry VMs to each other. Not thread-safe.
class progress_store {
 public:
  /// What an entry VM that reports to this process has in progress.
  void RecordEntry(const vm_id& entry, std::vector<pool_progress> pools,
                   steady_time now);
  /// The entry VM reports to another process from now on.
  void RemoveEntry(const vm_id& entry) { entries_.erase(entry); }
  /// The sum of the entry VMs that report to another control process.
  void RecordMember(const vm_id& member, fleet_progress sum, steady_time now);
  /// The sum of the entry VMs that report to this process.
  fleet_progress OwnSum() const;
  /// The sum of all entry VMs that are known, apart from this one.
  fleet_progress SumWithout(const vm_id& entry) const;
  /// Removes what is too old to be used.
  void Expire(steady_time now);

 private:
  struct entry_progress {
    std::vector<pool_progress> pools;
    steady_time reported_at;
  };
  struct member_progress {
    fleet_progress sum;
    steady_time reported_at;
  };

  std::map<vm_id, entry_progress> entries_;
  std::map<vm_id, member_progress> members_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_PROGRESS_STORE_H_
