#ifndef MARJORAMSILL_REQUEST_ATTEMPT_PLAN_H_
#define MARJORAMSILL_REQUEST_ATTEMPT_PLAN_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "request/attempt_settings.h"
#include "request/attempt_timeouts.h"
#include "request/body_collector.h"
#include "request/call_action.h"
#include "request/call_hooks.h"
#include "request/stream_relay.h"

namespace marjoramsill {

/// Timeouts of an attempt that starts, or goes on, with `remaining` time to the
/// deadline: multiples of the rank's latency targets that leave enough time for
/// another attempt, or all of `remaining` if there is no time for another one.
attempt_timeouts DeriveAttemptTimeouts(const attempt_settings& settings,
                                       std::chrono::microseconds remaining);

/// State machine of one repeatable call (design 5.3): first attempt, retries,
/// resumes and replays until a complete response or a failure has been
/// delivered to the caller. Does no I/O itself: every event returns the actions
/// that the executor has to carry out. Guarded by the lock of the call's shard.
class attempt_plan {
 public:
  attempt_plan(attempt_settings settings, call_hooks hooks);

  call_actions Start(steady_time now);
  /// True if the first byte of this attempt may be sent now.
  bool ConfirmSend(const attempt_id& attempt, steady_time now);
  call_actions OnHead(const attempt_id& attempt, const response_head& head,
                      steady_time now);
  call_actions OnData(const attempt_id& attempt, std::string_view bytes,
                      steady_time now);
  /// The end of the message was reached, according to its framing.
  call_actions OnEnd(const attempt_id& attempt, steady_time now);
  /// The connection was refused, or closed or lost before the message ended.
  call_actions OnFailure(const attempt_id& attempt, steady_time now);
  call_actions OnTimer(steady_time now);
  /// The caller disconnected. Cancels the current attempt, so that the engine
  /// stops generating.
  call_actions OnCallerDisconnected(steady_time now);

  bool ended() const { return ended_; }

 private:
  struct next_attempt {
    attempt_kind kind;
    endpoint_id endpoint;
  };

  bool IsCurrent(const attempt_id& attempt) const;
  /// Endpoint and kind of the next attempt; nullopt if neither a retry nor a
  /// resume nor a replay is possible.
  std::optional<next_attempt> ChooseNext(bool prefer_resume) const;
  bool TryAnotherAttempt(bool prefer_resume, steady_time now,
                         call_actions& actions);
  void Launch(const next_attempt& next, steady_time now, call_actions& actions);
  /// Starts another attempt if possible, otherwise fails the call.
  void Recover(failure_kind reason, bool prefer_resume, steady_time now,
               call_actions& actions);
  /// Delivers a failure, or aborts a response that has been started.
  void GiveUp(failure_kind reason, call_actions& actions);
  bool IsStreamHead(const response_head& head) const;
  void DeliverEvents(std::string_view bytes, steady_time now,
                     call_actions& actions);
  void ArmTimer(std::chrono::microseconds wait, steady_time now,
                call_actions& actions);
  void CancelCurrent(call_actions& actions);
  void End(call_actions& actions);

  attempt_settings settings_;
  call_hooks hooks_;
  bool ended_ = false;
  /// ConfirmSend() returned true for some attempt: the request may have run.
  bool sent_ = false;
  std::size_t attempts_ = 0;
  attempt_id current_;
  endpoint_id endpoint_;
  attempt_kind kind_ = attempt_kind::kFirst;
  /// Attempt that started the current engine stream. A resume refers to it.
  attempt_id stream_attempt_;
  /// Value of relay_.events() when the current attempt started.
  std::uint64_t events_at_launch_ = 0;
  /// Endpoints of all attempts except resumes.
  std::vector<endpoint_id> tried_;
  std::optional<response_head> head_;
  /// Set while a response that is not streamed is buffered.
  std::optional<body_collector> body_;
  stream_relay relay_;
  /// When the current attempt times out.
  steady_time timeout_at_;
  /// Time of the last wake_at action.
  steady_time armed_at_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_ATTEMPT_PLAN_H_
