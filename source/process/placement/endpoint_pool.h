#ifndef MARJORAMSILL_PROCESS_PLACEMENT_ENDPOINT_POOL_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_ENDPOINT_POOL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "process/directory/shared_load.h"
#include "process/placement/endpoint_belief.h"
#include "process/placement/placement_choice.h"
#include "process/placement/placement_settings.h"
#include "process/placement/request_demand.h"
#include "process/placement/session_finder.h"
#include "process/placement/smoothed_value.h"
#include "types/ids.h"
#include "types/random_source.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// The endpoints of one pool as an entry VM sees them, and the choice among
/// them: by estimated time to the first token, cached prefixes, load, failures
/// and failure domain.
class endpoint_pool {
 public:
  endpoint_pool(placement_settings settings, random_source random);

  /// Tokens of prefixes that an endpoint keeps.
  void SetCacheCapacity(token_count capacity);

  /// Adds or updates an endpoint. One that is gone stays until its calls have
  /// ended.
  void Apply(const endpoint_record& record);
  /// Chooses for a request; nothing if no endpoint serves. `tried` are not
  /// chosen again.
  std::optional<placement_choice> Choose(const request_demand& demand,
                                         const std::vector<endpoint_id>& tried,
                                         steady_time now);
  /// A request has arrived, whatever becomes of it.
  void NoteDemand(const request_demand& demand);
  endpoint_belief* Find(const endpoint_id& id);
  /// Time from sending to the end of a call that succeeded.
  void NoteDuration(std::chrono::microseconds duration);

  /// Appends the load reports that came with answers since the last call.
  void TakeLoads(std::vector<shared_load>& loads, steady_time now);

  /// Some endpoint takes requests.
  bool CanServe() const;
  /// Removes endpoints that are gone and have no call any more.
  void Sweep();
  std::size_t size() const { return endpoints_.size(); }
  double mean_duration_ms() const { return duration_ms_.value(); }

 private:
  struct candidate {
    endpoint_belief* endpoint = nullptr;
    double load = 0;
  };
  std::vector<candidate> Candidates(const std::vector<endpoint_id>& tried,
                                    bool also_avoided, steady_time now);
  /// Of at least one candidate.
  static double MeanLoad(const std::vector<candidate>& candidates);
  void DropOverloaded(std::vector<candidate>& candidates, double mean) const;
  /// What a request shares with others, and where it is expected.
  struct shared_prefix {
    std::uint64_t chain = 0;
    token_count tokens;
    const endpoint_belief* home = nullptr;
  };
  placement_choice Rate(const candidate& each, const request_demand& demand,
                        const shared_prefix& shared) const;
  shared_prefix FindShared(const request_demand& demand,
                           const std::vector<candidate>& candidates,
                           double mean) const;
  /// One of the two endpoints that all entry VMs prefer for a prefix.
  const endpoint_belief* PickHome(std::uint64_t chain,
                                  const std::vector<candidate>& candidates,
                                  double mean) const;
  /// Preferred endpoint for a prefix, one that leaves included: it still keeps
  /// the prefix.
  const endpoint_belief* FirstKeeper(std::uint64_t chain,
                                     const endpoint_belief& except) const;
  /// Endpoint whose memory the chosen one can copy the prefix from.
  const endpoint_belief* FindKeeper(const request_demand& demand,
                                    const shared_prefix& shared,
                                    const endpoint_belief& chosen,
                                    steady_time now) const;

  const placement_settings settings_;
  token_count cache_capacity_;
  const random_source random_;
  std::map<endpoint_id, std::unique_ptr<endpoint_belief>> endpoints_;
  smoothed_value duration_ms_;
  session_finder sessions_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_ENDPOINT_POOL_H_
