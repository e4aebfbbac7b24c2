#ifndef MARJORAMSILL_PROCESS_ENTRY_POOL_TABLE_H_
#define MARJORAMSILL_PROCESS_ENTRY_POOL_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "process/directory/endpoint_directory.h"
#include "process/directory/fleet_progress.h"
#include "process/directory/record_coverage.h"
#include "process/directory/shared_load.h"
#include "process/directory/stream_origin_store.h"
#include "process/placement/endpoint_pool.h"
#include "process/placement/placement_settings.h"
#include "process/placement/retry_window.h"
#include "types/ids.h"
#include "types/random_source.h"
#include "types/steady_time.h"

namespace marjoramsill {

class routing_table;

/// The pools of an entry process, with the endpoints that the control processes
/// report and the retry budget of each pool.
class pool_table {
 public:
  /// Called when a failure domain is no longer evacuated.
  using return_hook =
      std::function<void(const failure_domain_id&, steady_time now)>;
  /// Called when the record of an endpoint has changed.
  using change_hook = std::function<void(const endpoint_record&)>;

  pool_table(placement_settings placement, retry_settings retries,
             random_source random, change_hook on_change);

  /// Merges records of endpoints that a control process sent.
  void Merge(const std::vector<endpoint_record>& records, steady_time now);
  /// Merges what a control process knows of software that endpoints had before.
  void MergeFormerSoftware(const std::vector<software_presence>& presences,
                           steady_time now) {
    directory_.MergeFormerSoftware(presences, now);
  }
  /// Merges load reports that other entry VMs received.
  void MergeLoads(const std::vector<shared_load>& loads, steady_time now);
  /// Returns the load reports that endpoints sent with responses to this entry
  /// VM since the last call.
  std::vector<shared_load> TakeLoads(steady_time now);
  /// What this entry VM has in progress at endpoints that are known to serve.
  std::vector<pool_progress> Progress(steady_time now) const;
  /// Sets what all other entry VMs have in progress; ignored if it counts none.
  void SetOthersProgress(const fleet_progress& others, steady_time now);
  /// Sets the routing table, which gives the cache capacity of engines.
  void SetDocument(std::shared_ptr<const routing_table> table);
  /// The endpoints of a pool, which is created if needed; never null.
  endpoint_pool* Pool(const model_id& id);
  /// The retry budget of a pool, which is created if needed; never null.
  retry_window* Retries(const model_id& id);
  /// A control process has received heartbeats since `started`, and all records
  /// that it had at `as_of` or later are here.
  void AddHistory(steady_time started, steady_time as_of) {
    coverage_.Add(started, as_of);
  }
  /// The software of a pool's endpoints, if all that were present within the
  /// last `period`, ended ones included, are known to have the same.
  std::optional<software_digest> OnlySoftware(const model_id& pool,
                                              std::chrono::milliseconds period,
                                              steady_time now) const;
  /// The endpoints of the pool that have not ended have several versions.
  bool HasSeveralVersions(const model_id& pool) const;
  void ForEach(
      const std::function<void(const model_id&, endpoint_pool&)>& visit);
  /// The endpoint closed a kept connection that carried no call.
  void OnIdleConnectionLost(const endpoint_id& id, steady_time now);
  /// Sets this entry VM's place in the fleet.
  void SetPosition(const fleet_position& position);
  /// Whether any control process reports changes of endpoints now.
  void SetInContact(bool in_contact);
  /// Endpoints of the failure domain count as cold until then.
  void AssumeCold(const failure_domain_id& domain, steady_time until);
  /// Endpoints of pools that limit requests to cold ones, and are cold.
  std::size_t CountCold(steady_time now) const;
  void OnDomainReturn(return_hook hook) { on_return_ = std::move(hook); }
  /// Sets the evacuated failure domains in all pools, and calls the return hook
  /// for each one that was evacuated before and is not any longer.
  void SetEvacuated(const std::vector<failure_domain_id>& domains,
                    steady_time now);
  /// Number of endpoints that have not ended.
  std::size_t CountPresent() const { return directory_.CountPresent(); }
  /// Digests of the endpoints that have not ended, see endpoint_set_digest.
  std::vector<std::uint64_t> Digests() const {
    return directory_.digest().parts();
  }
  /// Updates the phases of endpoints and removes expired ones.
  void Tick(steady_time now);

  struct phase_counts {
    std::size_t ready = 0;
    std::size_t silent = 0;
    std::size_t leaving = 0;
  };
  phase_counts CountPhases() const;
  /// Endpoints that take clearly longer than their pools.
  std::size_t CountSlow() const;

 private:
  token_count CacheCapacity(const model_id& id) const;
  std::optional<warm_up_spec> WarmUp(const model_id& id) const;
  void Apply(const endpoint_record& record, steady_time now);
  endpoint_estimate* Find(endpoint_digest digest);

  const placement_settings placement_;
  const retry_settings retry_settings_;
  const random_source random_;
  const change_hook on_change_;
  std::shared_ptr<const routing_table> table_;
  endpoint_directory directory_;
  std::uint64_t applied_change_ = 0;
  fleet_position position_;
  bool in_contact_ = true;
  return_hook on_return_;
  /// Evacuated failure domains, sorted, and the time of the last change.
  std::vector<failure_domain_id> evacuated_;
  steady_time evacuations_set_at_;
  record_coverage coverage_;
  std::map<endpoint_id, model_id> pool_by_endpoint_;
  std::map<endpoint_digest, endpoint_id> endpoint_by_digest_;
  const std::shared_ptr<endpoint_terms_table> terms_ =
      std::make_shared<endpoint_terms_table>();
  std::map<model_id, std::unique_ptr<endpoint_pool>> pools_;
  std::map<model_id, std::unique_ptr<retry_window>> retries_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_POOL_TABLE_H_
