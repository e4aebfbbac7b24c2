#include "process/daemon/limits_service.h"

#include <map>
#include <utility>
#include <vector>

#include "connection/peer_transport.h"
#include "process/admission/limit_codec.h"
#include "process/daemon/event_log.h"
#include "process/daemon/peer_kinds.h"
#include "process/daemon/settings.h"
#include "process/daemon/steady_clock.h"

namespace marjoramsill {
namespace {

constexpr std::chrono::milliseconds kMessageTimeout{500};

std::vector<vm_id> AllVms(const settings& from) {
  std::vector<vm_id> all;
  for (const fleet_vm& vm : from.fleet) all.push_back(vm.id);
  return all;
}

}  // namespace

limits_service::limits_service(const settings& process_settings,
                               incarnation_number incarnation,
                               peer_transport& peers)
    : settings_(process_settings),
      peers_(peers),
      limits_(limit_settings{}, process_settings.vm, incarnation, SteadyNow()) {
  limits_.SetFleet(AllVms(process_settings), SteadyNow());
}

template <class Input>
void limits_service::Run(Input input) {
  limit_actions actions;
  std::vector<std::pair<decision_hook, bool>> outcomes;
  {
    const std::lock_guard lock(mutex_);
    input(SteadyNow(), actions);
    for (const limit_action& action : actions.decided) {
      const auto found = waiting_.find(action.request);
      if (found == waiting_.end()) continue;
      outcomes.emplace_back(std::move(found->second), action.accepted);
      waiting_.erase(found);
    }
  }
  std::map<vm_id, std::vector<limit_message>> by_receiver;
  for (const outgoing_limit_message& send : actions.send) {
    by_receiver[send.to].push_back(send.message);
  }
  for (const auto& [to, messages] : by_receiver) {
    const fleet_vm* vm = settings_.FindVm(to);
    if (vm == nullptr) continue;
    peers_.Send(vm->peers,
                {std::string(kLimitsKind), EncodeLimitMessages(messages), {}},
                kMessageTimeout, [](const auto& /*response*/) {});
  }
  for (const auto& [hook, accepted] : outcomes) hook(accepted);
}

void limits_service::Offer(const classified_request& request,
                           request_handle handle, document_version version,
                           decision_hook hook) {
  limit_decision decision = limit_decision::kRefused;
  Run([&](steady_time now, limit_actions& actions) {
    workspace_limit limit;
    limit.version = section_version(version.value());
    limit.tokens_per_second = request.limits.tokens_per_second;
    limit.concurrent = request.limits.concurrent_requests;
    limits_.SetLimit(request.workspace, limit, now);
    decision =
        limits_.Offer(request.workspace, handle, request.cost, now, actions);
    if (decision == limit_decision::kWaiting) waiting_.emplace(handle, hook);
  });
  if (decision == limit_decision::kWaiting) return;
  hook(decision == limit_decision::kAccepted);
}

void limits_service::Finish(const workspace_id& workspace, cost_units cost,
                            cost_units used) {
  const std::lock_guard lock(mutex_);
  limits_.Finish(workspace, cost, used, SteadyNow());
}

void limits_service::OnMessage(const vm_id& from, std::string_view body) {
  const auto messages = DecodeLimitMessages(body);
  if (!messages) {
    LogEvent(log_level::kWarning, "limits_message_refused",
             {{"vm", from.value()}, {"field", messages.assume_error().field}});
    return;
  }
  Run([&](steady_time now, limit_actions& actions) {
    for (const limit_message& message : messages.assume_value()) {
      limits_.Receive(from, message, now, actions);
    }
  });
}

void limits_service::Tick() {
  Run([this](steady_time now, limit_actions& actions) {
    limits_.Tick(now, actions);
  });
}

}  // namespace marjoramsill
