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
#include "request/caller_request.h"
#include "request/claim_flow.h"
#include "request/classified_request.h"
#include "request/problem.h"

namespace marjoramsill {

class http_responder;

/// Carries out one admitted call: feeds the attempt plan or the claim flow with
/// events under the shard's lock and executes its actions after unlocking. All
/// events of a call run one after another on its strand, so that actions keep
/// their order. Owned by the events in progress.
class call_executor : public std::enable_shared_from_this<call_executor> {
 public:
  call_executor(call_services& services, std::shared_ptr<pool_shard> shard,
                caller_request request, classified_request classified,
                std::shared_ptr<http_responder> responder, steady_time arrived);

  /// Offers the call to the admission queue and, when admitted, starts it.
  void Offer(workspace_handle workspace);
  /// Outcome of waiting in the admission queue.
  void OnAdmitted();
  void OnRejected(const admission_rejection& rejection);
  void OnCallerGone();
  /// The workspace is at its limit; nothing was sent.
  void RefuseForLimit();

  /// Runs once when the call has ended, with the cost that it really had.
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
    incarnation life;
    endpoint_client::call_id call = 0;
    steady_time sent_at;
    bool reported = false;
  };

  /// Answers with a problem before anything was sent.
  void Refuse(const problem& reason, service_event event);
  admission_offer MakeOffer(workspace_handle workspace) const;
  void Run();
  call_hooks MakeHooks();
  std::optional<endpoint_id> Choose(const std::vector<endpoint_id>& tried);

  /// Runs a step of the plan or flow under the shard's lock, then its actions.
  template <class Step>
  void Drive(Step step);
  void Execute(const call_actions& actions);
  void Do(const start_attempt& action);
  void Do(const cancel_attempt& action);
  void Do(const send_claim& action);
  void Do(const wake_at& action);
  void Do(const deliver_bytes& action);
  void Do(const end_delivery& action);
  void Do(const abort_delivery& action);
  void Do(const deliver_whole& action);
  void Do(const deliver_failure& action);
  void Do(const end_call& action);

  void FailAttempt(const attempt_id& attempt);
  bool ConfirmSend(const attempt_id& attempt);
  void HandleHead(const attempt_id& attempt, int status,
                  const http_field_list& fields);
  void HandleData(const attempt_id& attempt, const std::string& data);
  void HandleEnd(const attempt_id& attempt, endpoint_call_end end);
  void ReportAttempt(bool succeeded, const http_field_list& fields);
  void ReleaseEndpoint();
  void Answer(const problem& reason);
  /// The outcome, with the rank's latency targets taken into account.
  service_event JudgedOutcome() const;
  void Account();
  void Settle();

  call_services& services_;
  const std::shared_ptr<pool_shard> shard_;
  const caller_request request_;
  const classified_request classified_;
  const std::shared_ptr<http_responder> responder_;
  const steady_time arrived_;
  const request_handle handle_;
  const request_id id_;
  asio::strand<asio::io_context::executor_type> strand_;
  asio::steady_timer timer_;
  std::function<void(cost_units)> on_end_;

  // The members below are used on the strand; the plan and the ticket also
  // under the shard's lock.
  std::variant<std::monostate, attempt_plan, claim_flow> plan_;
  admission_ticket ticket_;
  bool admitted_ = false;
  bool settled_ = false;
  bool caller_gone_ = false;
  /// Endpoint whose load counts this call; under the shard's lock.
  std::optional<endpoint_id> loaded_;
  /// Endpoint that the last choice wants to be probed.
  std::optional<endpoint_id> probe_;
  std::optional<running_attempt> attempt_;
  std::uint32_t attempts_ = 0;
  bool began_ = false;
  std::optional<service_event> outcome_;
  steady_time started_;
  std::optional<steady_time> first_output_;
  steady_time last_output_;
  std::uint64_t output_events_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_CALL_EXECUTOR_H_
