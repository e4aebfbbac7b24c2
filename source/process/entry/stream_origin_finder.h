#ifndef MARJORAMSILL_PROCESS_ENTRY_STREAM_ORIGIN_FINDER_H_
#define MARJORAMSILL_PROCESS_ENTRY_STREAM_ORIGIN_FINDER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "process/directory/stream_origin_store.h"
#include "process/entry/origin_finding.h"
#include "process/entry/unconfirmed_origin.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

class control_watcher;
struct route_rule;

/// Finds the software that began a stream: here, by a pool that had no other
/// version within the time limit of the route, as a majority of the control
/// processes confirms, or at the control processes, to which every entry VM
/// reports its streams. Used on the thread of the entry
/// process.
class stream_origin_finder {
 public:
  using finding_hook = std::function<void(const origin_finding&)>;
  /// Software of the pool's endpoints, if all that were present within the
  /// period have the same.
  using only_software_hook = std::function<std::optional<software_digest>(
      const model_id&, std::chrono::milliseconds period)>;

  /// Software by the current record of an endpoint.
  using software_hook = std::function<std::optional<software_digest>(
      const model_id&, const endpoint_id&)>;

  stream_origin_finder(control_watcher& members, const vm_id& self,
                       only_software_hook only_software,
                       software_hook software_of,
                       std::function<steady_time()> clock);

  /// A stream began here. `is_urgent`: the pool has several versions, so that
  /// the control processes should know soon, not with the next watch request.
  void Record(const std::string& request, software_digest software,
              bool is_urgent);
  /// As Record(), once a control process has confirmed the endpoint's record,
  /// if it still names this software.
  void RecordWhenConfirmed(const unconfirmed_origin& origin);
  /// `done` may be called before this returns.
  void Find(const std::string& request, const route_rule& route,
            const finding_hook& done);
  std::vector<stream_origin> TakeAfter(std::uint64_t& number) const {
    return known_.TakeAfter(number);
  }
  /// Reports the streams that are due, and forgets old ones. Call several times
  /// a second.
  void Tick(steady_time now);

 private:
  /// By the only version of the pool, once its records are confirmed.
  void FindInPool(stream_digest stream, const model_id& pool,
                  std::chrono::milliseconds period, const finding_hook& done);
  void AskMembers(stream_digest stream, const finding_hook& done);
  void AskReachable(stream_digest stream, const finding_hook& done);
  void Report(steady_time now);
  void RecordConfirmed(steady_time now);

  control_watcher& members_;
  /// Selects the members to report to, so that entry VMs spread over them.
  const std::uint64_t self_hash_;
  const only_software_hook only_software_;
  const software_hook software_of_;
  const std::function<steady_time()> clock_;
  stream_origin_store known_;
  std::vector<unconfirmed_origin> unconfirmed_;
  std::optional<steady_time> report_due_;
  std::uint64_t reported_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_STREAM_ORIGIN_FINDER_H_
