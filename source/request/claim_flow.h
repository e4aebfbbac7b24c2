#ifndef MARJORAMSILL_REQUEST_CLAIM_FLOW_H_
#define MARJORAMSILL_REQUEST_CLAIM_FLOW_H_

#include <chrono>
#include <optional>
#include <string_view>
#include <vector>

#include "process/claims/claim_bounds.h"
#include "process/claims/claim_response.h"
#include "process/claims/stored_response.h"
#include "request/body_collector.h"
#include "request/call_action.h"
#include "request/call_hooks.h"
#include "request/claim_flow_settings.h"

namespace marjoramsill {

/// State machine of one non-repeatable call (design 5.4). No byte is sent
/// before the claim has been granted in time, and after the first byte no other
/// attempt is made. Does no I/O itself: every event returns the actions that
/// the executor has to carry out. Guarded by the lock of the call's shard.
class claim_flow {
 public:
  claim_flow(claim_flow_settings settings, call_hooks hooks);

  call_actions Start(steady_time now);
  call_actions OnClaimResponse(const claim_response& reply, steady_time now);
  /// The claim command could not be sent to its group, or no response arrived.
  call_actions OnClaimUnavailable(steady_time now);

  /// True if the first byte of this attempt may be sent now. From then on the
  /// request counts as possibly run.
  bool ConfirmSend(const attempt_id& attempt, steady_time now);
  call_actions OnHead(const attempt_id& attempt, const response_head& head,
                      steady_time now);
  call_actions OnData(const attempt_id& attempt, std::string_view bytes,
                      steady_time now);
  call_actions OnEnd(const attempt_id& attempt, steady_time now);
  /// The attempt's connection failed, before or after ConfirmSend().
  call_actions OnFailure(const attempt_id& attempt, steady_time now);
  call_actions OnTimer(steady_time now);
  /// The caller disconnected. A request that has been sent is completed
  /// nevertheless, so that its response is stored for a repeat of the call.
  call_actions OnCallerDisconnected(steady_time now);

  bool ended() const { return phase_ == phase::kEnded; }

 private:
  enum class phase { kNew, kClaiming, kAttempting, kReportingOutcome, kEnded };

  claim_command Command(claim_command_kind kind) const;
  bool IsCurrent(const attempt_id& attempt) const;
  void SendClaim(steady_time now, call_actions& actions);
  void HandleClaimOutcome(const claim_response& reply, steady_time now,
                          call_actions& actions);
  void WakeAt(steady_time at, call_actions& actions);
  void CancelCurrent(call_actions& actions);
  void TryEndpoint(steady_time now, call_actions& actions);
  /// Fails the call as not run and releases the claim.
  void ReleaseUnsent(failure_kind kind, steady_time now, call_actions& actions);
  /// Fails the call, whose request has been sent, and marks the claim as having
  /// an unknown outcome.
  void MarkOutcomeUnknown(failure_kind kind, steady_time now,
                          call_actions& actions);
  void DeliverStored(const stored_response& response, call_actions& actions);
  void DeliverFailure(failure_kind kind, execution_status run,
                      std::chrono::seconds retry_after, call_actions& actions);
  /// Sends `command` to the claim group until it is acknowledged or
  /// outcome_resend_timeout has passed.
  void ReportOutcome(claim_command command, steady_time now,
                     call_actions& actions);
  void SendOutcome(steady_time now, call_actions& actions);
  void End(call_actions& actions);

  claim_flow_settings settings_;
  call_hooks hooks_;
  phase phase_ = phase::kNew;
  steady_time claim_deadline_;
  steady_time wake_time_;
  /// A claim command was sent and awaits its response.
  bool claim_sent_ = false;
  /// The claim has been given up: a grant that arrives later is released.
  bool abandoned_ = false;
  /// The caller has been sent a response, or has disconnected.
  bool responded_ = false;
  /// ConfirmSend() returned true.
  bool sent_ = false;
  attempt_id attempt_;
  std::vector<endpoint_id> tried_;
  std::optional<body_collector> body_;
  /// Finish, release or mark-unknown command that is not yet acknowledged.
  std::optional<claim_command> outcome_;
  steady_time report_deadline_;
  /// Delay before the next resend of outcome_; doubles each time.
  std::chrono::microseconds resend_delay_{0};
};

/// The response as it is stored for repeats of the call: the headers that
/// describe the body, and the body if it is at most kMaxStoredBodyBytes.
stored_response MakeStoredResponse(const complete_response& response);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_CLAIM_FLOW_H_
