#include "process/entry/content_fault_monitor.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

#include "process/daemon/peer_kinds.h"
#include "process/daemon/steady_clock.h"
#include "process/directory/control_watcher.h"
#include "process/directory/endpoint_record.h"
#include "process/directory/shared_load.h"
#include "process/entry/call_environment.h"
#include "process/entry/crash_decision.h"
#include "process/entry/entry_events.h"
#include "types/random_source.h"

namespace marjoramsill {

content_fault_monitor::content_fault_monitor(
    asio::io_context& io, endpoint_connection_pool& connections,
    control_watcher& members, decision_log& log, reached_hook on_reached)
    : members_(members),
      log_(log),
      on_reached_(std::move(on_reached)),
      contents_(SystemRandom()),
      reporter_(members, contents_),
      trials_(TrialHooks()),
      end_check_(io, connections,
                 [this](const endpoint_record& endpoint,
                        const std::vector<content_digest>& suspects) {
                   crashes_.evidence().OnRefused(endpoint, suspects,
                                                 SteadyNow());
                 }),
      crashes_(io, connections, members,
               [this](const crash_decision& each) { OnDecision(each); }) {}

void content_fault_monitor::Provide(call_environment& environment) {
  environment.contents = &contents_;
  environment.request_trial = [this](const std::vector<content_trial>& trials,
                                     const auto& done) {
    trials_.Request(trials, done);
  };
  environment.release_trial = [this](const content_trial_request& granted) {
    trials_.Release(granted);
  };
  environment.check_end = [this](const endpoint_record& endpoint,
                                 const request_content& content,
                                 endpoint_end_check::finding_hook done) {
    end_check_.Start(endpoint, contents_.Suspects(content, SteadyNow()),
                     std::move(done));
  };
  environment.find_end = [this](const endpoint_record& endpoint,
                                endpoint_end_check::finding_hook done) {
    end_check_.Start(endpoint, {}, std::move(done));
  };
}

content_trial_requester::hooks content_fault_monitor::TrialHooks() {
  content_trial_requester::hooks hooks;
  hooks.members = [this](steady_time now) { return members_.Reachable(now); };
  hooks.group_size = [this] { return members_.members().size(); };
  hooks.entry_count = [this] { return members_.position().entry_count; };
  hooks.request = [this](const vm_id& vm, std::string body,
                         std::chrono::milliseconds timeout,
                         content_trial_requester::response_hook done) {
    members_.Request(vm, std::string(kContentTrialKind), std::move(body),
                     timeout, std::move(done));
  };
  hooks.clock = SteadyNow;
  return hooks;
}

void content_fault_monitor::OnLoads(const std::vector<shared_load>& loads,
                                    steady_time now) {
  for (const shared_load& each : loads) {
    crashes_.evidence().OnReport(each.endpoint, now - each.age);
  }
}

void content_fault_monitor::OnRecord(const endpoint_record& changed) {
  crashes_.evidence().OnRecord(changed);
}

void content_fault_monitor::Tick(steady_time now) {
  crashes_.Tick(now);
  reporter_.Tick(now);
}

void content_fault_monitor::OnDecision(const crash_decision& decision) {
  LogCrashDecision(log_, decision);
  const endpoint_record& endpoint = decision.endpoint;
  if (!IsCrash(decision.finding)) {
    on_reached_(endpoint);
    return;
  }
  const auto suspects =
      contents_.UnansweredSince(decision.refused_at, decision.suspects);
  contents_.RecordEnd(DigestOfRun(endpoint), suspects, SteadyNow());
  LogSuspects(log_, endpoint, suspects);
}

}  // namespace marjoramsill
