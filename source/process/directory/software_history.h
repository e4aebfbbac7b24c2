#ifndef MARJORAMSILL_PROCESS_DIRECTORY_SOFTWARE_HISTORY_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_SOFTWARE_HISTORY_H_

#include <cstddef>
#include <map>
#include <vector>

#include "process/directory/software_presence.h"
#include "types/steady_time.h"

namespace marjoramsill {

struct endpoint_record;

/// Software of endpoints whose records were replaced or removed, so that a
/// stream is not assigned to software that came later. Bounded by
/// the number of versions. Not thread-safe.
class software_history {
 public:
  /// The endpoint with this record was present until `seen_at`.
  void Record(const endpoint_record& former, steady_time seen_at);
  /// Adds what another process has recorded.
  void Merge(const std::vector<software_presence>& presences, steady_time now);
  /// What was recorded, newest first up to a bound, with ages as of `now`.
  std::vector<software_presence> All(steady_time now) const;
  /// Removes entries that are older than a stream can be.
  void Expire(steady_time now);
  std::size_t size() const { return seen_.size(); }

 private:
  struct entry {
    pool_digest pool;
    steady_time seen_at;
  };

  void Add(pool_digest pool, software_digest software, steady_time seen_at);

  std::map<software_digest, entry> seen_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_SOFTWARE_HISTORY_H_
