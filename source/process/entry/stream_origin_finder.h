#ifndef MARJORAMSILL_PROCESS_ENTRY_STREAM_ORIGIN_FINDER_H_
#define MARJORAMSILL_PROCESS_ENTRY_STREAM_ORIGIN_FINDER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "process/directory/stream_origin_store.h"
#include "process/entry/origin_finding.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

class control_watcher;
struct route_rule;

/// Finds the software that began a stream: here, by a pool that had no other
/// version for as long as a stream can be taken up, or at the control
/// processes, to which every entry VM reports its streams. Used on the thread
/// of the entry process.
class stream_origin_finder {
 public:
  using finding_hook = std::function<void(const origin_finding&)>;
  /// Software of the pool's endpoints, if all of them, also those that ended
  /// recently, have the same.
  using only_software_hook =
      std::function<std::optional<software_digest>(const model_id&)>;

  stream_origin_finder(control_watcher& members,
                       only_software_hook only_software,
                       std::function<steady_time()> clock);

  /// A stream began here.
  void Record(const std::string& request, software_digest software);
  /// `done` may be called before this returns.
  void Find(const std::string& request, const route_rule& route,
            const finding_hook& done);
  std::vector<stream_origin> TakeAfter(std::uint64_t& number) const {
    return known_.TakeAfter(number);
  }
  /// Forgets old streams. Call several times a minute.
  void Tick(steady_time now) { known_.Expire(now); }

 private:
  void AskMembers(stream_digest stream, const finding_hook& done);

  control_watcher& members_;
  const only_software_hook only_software_;
  const std::function<steady_time()> clock_;
  stream_origin_store known_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_STREAM_ORIGIN_FINDER_H_
