#ifndef MARJORAMSILL_PROCESS_PLACEMENT_POOL_REACH_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_POOL_REACH_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>

#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Whether this entry VM has links to the endpoints of a pool.
enum class link_state {
  kUp,
  /// No endpoint could be reached.
  kLost,
  /// Endpoints were reached again; requests move back gradually.
  kReturning,
};

/// For log lines.
const char* LinkStateText(link_state state);

/// Decides from attempts and probes whether an entry VM has lost its own links
/// to the endpoints of a pool. Failures of single endpoints only give rise to
/// probes of several; these decide. Probes go on while the links are lost.
class pool_reach {
 public:
  /// Part of a response of any endpoint arrived.
  void OnActivity(steady_time now) { last_activity_ = now; }
  /// A connection to any endpoint was established.
  void OnConnected() { failed_.clear(); }
  /// A connection to this endpoint got no answer.
  void OnConnectTimeout(const endpoint_id& endpoint) {
    failed_.insert(endpoint);
  }

  /// True if several endpoints should be probed now. `waiting_since`: when the
  /// oldest request was sent to an endpoint that has sent nothing since.
  /// `serving`: endpoints that take requests.
  bool IsProbeDue(std::optional<steady_time> waiting_since, std::size_t serving,
                  steady_time now) const;
  void OnProbeStart() { is_probing_ = true; }
  /// Returns true if the state has changed. `reached`, `failed`: numbers of
  /// probed endpoints that answered, also by a refusal, and that did not.
  bool OnProbeEnd(std::size_t reached, std::size_t failed, steady_time now);

  link_state state(steady_time now) const;
  /// Share of requests that should use this VM's own links, 0 to 1.
  double DirectShare(steady_time now) const;
  /// Kept connections carry responses although new ones fail.
  bool HasRecentActivity(steady_time now) const;

 private:
  bool IsSuspected(std::optional<steady_time> waiting_since,
                   std::size_t serving, steady_time now) const;
  void OnLost(steady_time now);

  /// Endpoints that did not answer a connection attempt since the last success.
  std::set<endpoint_id> failed_;
  steady_time last_activity_;
  bool is_probing_ = false;
  bool is_lost_ = false;
  steady_time next_probe_;
  steady_time last_reached_;
  std::chrono::milliseconds probe_interval_{0};
  /// Consecutive rounds of probes that reached an endpoint while the links were
  /// lost.
  int reached_rounds_ = 0;
  std::optional<steady_time> returning_since_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_POOL_REACH_H_
