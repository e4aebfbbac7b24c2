#include "process/daemon/request_handler.h"

#include <utility>

#include "connection/http_responder.h"
#include "process/daemon/call_executor.h"
#include "process/daemon/event_log.h"
#include "process/daemon/limits_service.h"
#include "process/daemon/policy_distribution.h"
#include "process/daemon/policy_store.h"
#include "process/daemon/pool_shards.h"
#include "process/daemon/steady_clock.h"
#include "version/policy_snapshot.h"

namespace marjoramsill {

request_handler::request_handler(call_services& services,
                                 const policy_store& policy,
                                 const pool_shards& shards,
                                 limits_service& limits,
                                 policy_distribution& distribution,
                                 classifier_limits bounds)
    : services_(services),
      policy_(policy),
      shards_(shards),
      limits_(limits),
      distribution_(distribution),
      bounds_(bounds) {}

void request_handler::Handle(http_request request,
                             const std::shared_ptr<http_responder>& responder) {
  const steady_time arrived = SteadyNow();
  const auto policy = policy_.Current();
  if (!policy) {
    Refuse({problem_kind::kNotReady, execution_status::kNotRun,
            "no policy version has arrived yet", std::chrono::seconds(1)},
           responder);
    return;
  }
  auto classified = Classify(request, *policy, bounds_);
  if (!classified) {
    Refuse(FetchMissingWorkspace(*policy, classified.assume_error(), request),
           responder);
    return;
  }
  const auto shard = shards_.Find(classified.assume_value().pool);
  if (!shard) {
    Refuse({problem_kind::kUnknownModel, execution_status::kNotRun,
            classified.assume_value().pool.value(), std::nullopt},
           responder);
    return;
  }
  const workspace_handle workspace =
      workspaces_.HandleOf(classified.assume_value().workspace);
  const auto call = std::make_shared<call_executor>(
      services_, shard, std::move(request),
      std::move(classified).assume_value(), responder, arrived);
  ++*open_calls_;
  const auto accepted = std::make_shared<bool>(false);
  call->OnEnd([this, accepted, open_calls = open_calls_,
               workspace_name = call->classified().workspace,
               cost = call->classified().cost](cost_units used) {
    if (*accepted) limits_.Finish(workspace_name, cost, used);
    --*open_calls;
  });
  responder->OnDisconnect([weak = std::weak_ptr(call)] {
    if (const auto open = weak.lock()) open->OnCallerDisconnected();
  });
  limits_.Offer(call->classified(), call->handle(), policy->version(),
                [call, workspace, accepted](bool within) {
                  if (!within) {
                    call->RefuseForLimit();
                    return;
                  }
                  *accepted = true;
                  call->Offer(workspace);
                });
}

problem request_handler::FetchMissingWorkspace(const policy_snapshot& policy,
                                               const problem& reason,
                                               const http_request& request) {
  const http_field* workspace = FindField(request.fields, "X-Workspace");
  if (reason.kind != problem_kind::kUnknownWorkspace ||
      policy.workspaces_complete() || workspace == nullptr) {
    return reason;
  }
  distribution_.FetchWorkspace(workspace_id(workspace->value));
  return {problem_kind::kNotReady, execution_status::kNotRun,
          "this VM is fetching the section of the workspace",
          std::chrono::seconds(1)};
}

void request_handler::Refuse(
    const problem& reason,
    const std::shared_ptr<http_responder>& responder) const {
  LogEvent(log_level::kDebug, "request_refused",
           {{"problem", std::string(ProblemName(reason.kind))}});
  http_field_list fields = {{"Content-Type", "application/problem+json"}};
  if (reason.retry_after) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(*reason.retry_after);
    fields.push_back({"Retry-After", std::to_string(seconds.count())});
  }
  responder->Respond(ProblemStatus(reason.kind), fields, ProblemJson(reason));
}

}  // namespace marjoramsill
