#include "process/entry/crash_finder.h"

#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "connection/endpoint_connection.h"
#include "connection/endpoint_connection_pool.h"
#include "process/daemon/peer_kinds.h"
#include "process/daemon/steady_clock.h"
#include "process/directory/control_watcher.h"
#include "process/directory/document_holder.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// Connecting takes a few milliseconds within a deployment.
constexpr milliseconds kProbeTimeout{150};
/// A member answers from memory, within a few milliseconds.
constexpr milliseconds kAskTimeout{300};

}  // namespace

crash_finder::crash_finder(asio::io_context& io,
                           endpoint_connection_pool& connections,
                           control_watcher& members, decision_hook on_decision)
    : io_(io),
      connections_(connections),
      members_(members),
      on_decision_(std::move(on_decision)) {}

void crash_finder::Tick(steady_time now) {
  if (evidence_.empty()) return;
  for (const endpoint_record& endpoint : evidence_.TakeProbes(now)) {
    Probe(endpoint);
  }
  // A further question discards the answers to the one before.
  const std::size_t members = members_.members().size();
  for (const crash_decision& each : evidence_.TakeDecisions(members, now)) {
    on_decision_(each);
  }
  const auto questions = evidence_.TakeQuestions(now);
  if (!questions.empty()) Ask(questions, now);
}

void crash_finder::Probe(const endpoint_record& endpoint) {
  const auto connection = connections_.Open(endpoint.id, endpoint.address);
  const auto timer = std::make_shared<asio::steady_timer>(io_, kProbeTimeout);
  timer->async_wait([connection](std::error_code error) {
    if (!error) connection->Close();
  });
  connection->Connect([this, id = endpoint.id, run = DigestOfRun(endpoint),
                       connection, timer](bool connected) {
    timer->cancel();
    if (!connected) return;
    connections_.Release(id, connection, SteadyNow());
    evidence_.OnReached(run);
  });
}

void crash_finder::Ask(const std::vector<heartbeat_question>& questions,
                       steady_time now) {
  std::vector<endpoint_run_digest> runs;
  runs.reserve(questions.size());
  for (const heartbeat_question& each : questions) {
    endpoint_record endpoint;
    endpoint.id = each.id;
    endpoint.incarnation = each.incarnation;
    runs.push_back(DigestOfRun(endpoint));
  }
  const std::string message = EncodeHeartbeatQuestions(questions);
  for (const reachable_member& member : members_.Reachable(now)) {
    members_.Request(member.vm, std::string(kHeartbeatStatesKind), message,
                     kAskTimeout,
                     [this, runs](const std::optional<std::string>& bytes) {
                       const auto states =
                           bytes ? DecodeHeartbeatStates(*bytes) : std::nullopt;
                       if (!states || states->size() != runs.size()) return;
                       for (std::size_t i = 0; i < runs.size(); ++i) {
                         evidence_.OnHeartbeats(runs[i], (*states)[i]);
                       }
                     });
  }
}

}  // namespace marjoramsill
