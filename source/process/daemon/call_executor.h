#ifndef MARJORAMSILL_PROCESS_DAEMON_CALL_EXECUTOR_H_
#define MARJORAMSILL_PROCESS_DAEMON_CALL_EXECUTOR_H_

#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "connection/endpoint_call_end.h"
#include "connection/endpoint_client.h"
#include "process/admission/admission_types.h"
#include "process/burn/service_counters.h"
#include "process/daemon/call_services.h"
#include "process/daemon/pool_shard.h"
#include "request/attempt_plan.h"
#include "request/claim_flow.h"
#include "request/classified_request.h"
#include "request/http_request.h"
#include "request/problem.h"

namespace marjoramsill {

class http_responder;
struct attempt_report;

/// Executes one call: passes events to the attempt plan or the claim flow under
/// the shard's lock and executes the resulting actions after unlocking. All
/// events of a call run on its strand, so that actions keep their order. Owned
/// by the handlers of its pending events.
class call_executor : public std::enable_shared_from_this<call_executor> {
 public:
  call_executor(call_services& services, std::shared_ptr<pool_shard> shard,
                http_request request, classified_request classified,
                std::shared_ptr<http_responder> responder, steady_time arrived);

  /// Offers the call to the admission queue and, when admitted, starts it.
  void Offer(workspace_handle workspace);
  /// Called when the call leaves the admission queue.
  void OnAdmitted();
  void OnRejected(const admission_rejection& rejection);
  void OnCallerDisconnected();
  /// Refuses the call because its workspace is at its limit.
  void RefuseForLimit();

  /// Sets the hook that is called once when the call has ended, with its actual
  /// cost.
  void OnEnd(std::function<void(cost_units used)> hook) {
    on_end_ = std::move(hook);
  }
  const classified_request& classified() const { return classified_; }
  request_handle handle() const { return handle_; }

 private:
  /// The attempt in progress.
  struct running_attempt {
    attempt_id id;
    endpoint_id endpoint;
    incarnation_number incarnation;
    endpoint_client::call_id call = 0;
    steady_time sent_at;
    bool reported = false;
  };

  /// Responds with a problem; nothing was sent to an endpoint.
  void Refuse(const problem& reason, service_event event);
  admission_offer MakeOffer(workspace_handle workspace) const;
  void Run();
  call_hooks MakeHooks();
  std::optional<endpoint_id> Choose(const std::vector<endpoint_id>& tried);

  /// Runs a step of the plan or flow under the shard's lock, then its actions.
  template <class Step>
  void Drive(Step step);
  void Execute(const call_actions& actions);
  void Perform(const start_attempt& action);
  void Perform(const cancel_attempt& action);
  void Perform(const send_claim& action);
  void Perform(const wake_at& action);
  void Perform(const deliver_bytes& action);
  void Perform(const end_delivery& action);
  void Perform(const abort_delivery& action);
  void Perform(const deliver_response& action);
  void Perform(const deliver_failure& action);
  void Perform(const end_call& action);

  void FailAttempt(const attempt_id& attempt);
  bool ConfirmSend(const attempt_id& attempt);
  void HandleHead(const attempt_id& attempt, int status,
                  const http_field_list& fields);
  void HandleData(const attempt_id& attempt, const std::string& data);
  void HandleEnd(const attempt_id& attempt, endpoint_call_end end);
  /// Reports what a response says of the endpoint.
  void ReportAttempt(int status, const http_field_list& fields);
  /// Reports an attempt without a complete response.
  void ReportBrokenAttempt();
  attempt_report NewReport() const;
  void Report(const attempt_report& report);
  void ReleaseEndpoint();
  void SendProblem(const problem& reason);
  /// The outcome, with the rank's latency targets taken into account.
  service_event FinalOutcome() const;
  void CountOutcome();
  void FinishCall();

  call_services& services_;
  const std::shared_ptr<pool_shard> shard_;
  const http_request request_;
  const classified_request classified_;
  const std::shared_ptr<http_responder> responder_;
  const steady_time arrived_;
  const request_handle handle_;
  const request_id id_;
  asio::strand<asio::io_context::executor_type> strand_;
  asio::steady_timer timer_;
  std::function<void(cost_units)> on_end_;

  // The members below are used on the strand only; the plan and the ticket are
  // also guarded by the shard's lock.
  std::variant<std::monostate, attempt_plan, claim_flow> plan_;
  admission_ticket ticket_;
  bool admitted_ = false;
  bool finished_ = false;
  bool caller_disconnected_ = false;
  /// Endpoint whose load includes this call; guarded by the shard's lock.
  std::optional<endpoint_id> counted_endpoint_;
  /// Endpoint that the last choice requests a probe for.
  std::optional<endpoint_id> probe_;
  std::optional<running_attempt> attempt_;
  std::uint32_t attempts_ = 0;
  bool response_begun_ = false;
  std::optional<service_event> outcome_;
  steady_time started_;
  std::optional<steady_time> first_output_;
  steady_time last_output_;
  std::uint64_t output_events_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_CALL_EXECUTOR_H_
