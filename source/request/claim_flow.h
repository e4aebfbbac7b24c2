#ifndef MARJORAMSILL_REQUEST_CLAIM_FLOW_H_
#define MARJORAMSILL_REQUEST_CLAIM_FLOW_H_

#include <chrono>
#include <optional>
#include <string_view>
#include <vector>

#include "process/claims/claim_bounds.h"
#include "process/claims/claim_reply.h"
#include "process/claims/stored_response.h"
#include "request/body_collector.h"
#include "request/call_action.h"
#include "request/call_hooks.h"
#include "request/claim_flow_settings.h"

namespace marjoramsill {

/// One non-repeatable call (design 5.4). No byte is sent before the claim is
/// granted in time, and after the first byte no other attempt is made. Guarded
/// by the lock of the call's shard.
class claim_flow {
 public:
  claim_flow(claim_flow_settings settings, call_hooks hooks);

  call_actions Start(steady_time now);
  call_actions OnClaimReply(const claim_reply& reply, steady_time now);
  /// The claim command could not be handed to its group, or no reply came.
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
  call_actions OnCallerGone(steady_time now);

  bool ended() const { return phase_ == phase::kEnded; }

 private:
  enum class phase { kNew, kClaiming, kAttempting, kSettling, kEnded };

  claim_command Command(claim_command_kind kind) const;
  bool IsCurrent(const attempt_id& attempt) const;
  void SendClaim(steady_time now, call_actions& actions);
  void HandleClaimOutcome(const claim_reply& reply, steady_time now,
                          call_actions& actions);
  void WakeAt(steady_time at, call_actions& actions);
  void CancelCurrent(call_actions& actions);
  void TryEndpoint(steady_time now, call_actions& actions);
  void GiveUpUnsent(failure_kind kind, steady_time now, call_actions& actions);
  void LoseResponse(failure_kind kind, steady_time now, call_actions& actions);
  void AnswerStored(const stored_response& response, call_actions& actions);
  void AnswerFailure(failure_kind kind, run_certainty run,
                     std::chrono::seconds retry_after, call_actions& actions);
  void Settle(claim_command command, steady_time now, call_actions& actions);
  void SendOutcome(steady_time now, call_actions& actions);
  void End(call_actions& actions);

  claim_flow_settings settings_;
  call_hooks hooks_;
  phase phase_ = phase::kNew;
  steady_time claim_deadline_;
  steady_time wake_;
  /// A claim command is under way.
  bool claim_sent_ = false;
  /// The claim was or is to be released: a grant is not acted on.
  bool gave_up_ = false;
  bool answered_ = false;
  /// ConfirmSend() returned true.
  bool sent_ = false;
  attempt_id attempt_;
  std::vector<endpoint_id> tried_;
  std::optional<body_collector> body_;
  /// Finish, release or mark-unknown command that awaits its reply.
  std::optional<claim_command> outcome_;
  steady_time settle_deadline_;
  std::chrono::microseconds settle_pause_{0};
};

/// Response as stored for repeats: the headers that describe the body, and the
/// body if it is within kMaxStoredBodyBytes.
stored_response MakeStoredResponse(const whole_response& response);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_CLAIM_FLOW_H_
