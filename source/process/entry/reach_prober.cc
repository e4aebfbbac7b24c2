#include "process/entry/reach_prober.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <utility>
#include <vector>

#include "connection/endpoint_connection.h"
#include "connection/endpoint_connection_pool.h"
#include "process/daemon/steady_clock.h"
#include "process/entry/pool_table.h"
#include "process/placement/endpoint_pool.h"

namespace marjoramsill {
namespace {

/// Endpoints that one round probes.
constexpr std::size_t kProbes = 3;
/// Connecting takes a few milliseconds within a deployment.
constexpr std::chrono::milliseconds kProbeTimeout{150};

}  // namespace

/// Probes of one round that have not ended.
struct reach_prober::probe_round {
  std::vector<std::shared_ptr<endpoint_connection>> open;
  std::size_t reached = 0;
  std::size_t failed = 0;
  bool has_ended = false;
};

reach_prober::reach_prober(asio::io_context& io,
                           endpoint_connection_pool& connections,
                           pool_table& pools, change_hook on_change)
    : io_(io),
      connections_(connections),
      pools_(pools),
      on_change_(std::move(on_change)) {}

void reach_prober::Tick(steady_time now) {
  pools_.ForEach([this, now](const model_id& id, endpoint_pool& pool) {
    const bool is_due =
        pool.reach().IsProbeDue(pool.OldestWait(), pool.CountServing(), now);
    if (is_due) Start(id, pool);
  });
}

void reach_prober::Start(const model_id& id, endpoint_pool& pool) {
  pool.reach().OnProbeStart();
  const auto round = std::make_shared<probe_round>();
  const auto timer = std::make_shared<asio::steady_timer>(io_, kProbeTimeout);
  // Pools live as long as the process.
  const auto finish = [this, id, &pool, round, timer] {
    if (std::exchange(round->has_ended, true)) return;
    timer->cancel();
    round->failed += round->open.size();
    for (const auto& each : round->open) each->Close();
    round->open.clear();
    const steady_time now = SteadyNow();
    if (!pool.reach().OnProbeEnd(round->reached, round->failed, now)) return;
    const link_state state = pool.reach().state(now);
    if (state == link_state::kReturning) pool.ForgetFailures();
    on_change_(id, state, round->reached, round->failed);
  };
  timer->async_wait([finish](std::error_code error) {
    if (!error) finish();
  });
  for (const endpoint_record& target : pool.PickServing(kProbes)) {
    const auto connection = connections_.Open(target.id, target.address);
    round->open.push_back(connection);
    connection->Connect([this, round, finish, endpoint = target.id,
                         opened = connection.get()](bool connected) {
      if (round->has_ended) return;
      const auto found = std::find_if(
          round->open.begin(), round->open.end(),
          [opened](const auto& each) { return each.get() == opened; });
      if (found == round->open.end()) return;
      if (connected) connections_.Release(endpoint, *found, SteadyNow());
      // A refusal is an answer: an endpoint with too many connections resets
      // new ones.
      ++round->reached;
      round->open.erase(found);
      if (round->open.empty()) finish();
    });
  }
}

}  // namespace marjoramsill
