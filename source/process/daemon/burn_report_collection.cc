#include "process/daemon/burn_report_collection.h"

#include <chrono>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "connection/peer_transport.h"
#include "process/burn/counters_codec.h"
#include "process/daemon/operator_api.h"
#include "process/daemon/peer_kinds.h"
#include "process/daemon/policy_store.h"
#include "process/daemon/pool_shards.h"
#include "process/daemon/settings.h"
#include "process/daemon/steady_clock.h"
#include "version/policy_snapshot.h"

namespace marjoramsill {
namespace {

constexpr std::chrono::milliseconds kResponseTimeout{2'000};

/// Responses collected so far.
struct report_collection {
  std::mutex mutex;
  counter_snapshot merged;
  std::vector<vm_id> included;
  std::vector<vm_id> missing;
  std::size_t pending = 0;
  burn_settings settings;
  std::function<void(const burn_report&)> done;
};

void Finish(report_collection& current) {
  current.done(MakeBurnReport(current.settings, current.merged,
                              current.included, current.missing));
}

void AddResponse(const std::shared_ptr<report_collection>& current,
                 const vm_id& from,
                 const result<std::string, peer_error>& response) {
  bool complete = false;
  {
    const std::lock_guard lock(current->mutex);
    bool accepted = false;
    if (response) {
      const auto counters = DecodeCounters(response.assume_value());
      if (counters) {
        AddSnapshot(counters.assume_value(), current->merged);
        accepted = true;
      }
    }
    (accepted ? current->included : current->missing).push_back(from);
    complete = --current->pending == 0;
  }
  if (complete) Finish(*current);
}

burn_settings SettingsOf(const policy_store& policy) {
  burn_settings settings;
  const auto snapshot = policy.Current();
  if (!snapshot) return settings;
  for (std::size_t i = 0; i < kRankCount; ++i) {
    settings.objectives.at(i) = snapshot->Rank(static_cast<rank>(i)).objective;
  }
  return settings;
}

}  // namespace

counter_snapshot LocalCounters(const pool_shards& shards) {
  counter_snapshot sum;
  const steady_time now = SteadyNow();
  for (const auto& [pool, shard] : shards.All()) {
    counter_snapshot one;
    {
      const std::lock_guard lock(shard->mutex);
      one = shard->counters.Snapshot(now);
    }
    AddSnapshot(one, sum);
  }
  return sum;
}

void CollectBurnReport(const operator_sources& sources,
                       std::function<void(const burn_report&)> done) {
  const settings& own = sources.process_settings;
  auto current = std::make_shared<report_collection>();
  current->merged = LocalCounters(sources.shards);
  current->included.push_back(own.vm);
  current->settings = SettingsOf(sources.policy);
  current->done = std::move(done);
  std::vector<const fleet_vm*> others;
  for (const fleet_vm& vm : own.fleet) {
    if (vm.id != own.vm) others.push_back(&vm);
  }
  if (others.empty()) {
    Finish(*current);
    return;
  }
  current->pending = others.size();
  for (const fleet_vm* vm : others) {
    sources.peers.Send(
        vm->peers, {std::string(kCountersKind), {}, {}}, kResponseTimeout,
        [current,
         from = vm->id](const result<std::string, peer_error>& response) {
          AddResponse(current, from, response);
        });
  }
}

}  // namespace marjoramsill
