#ifndef MARJORAMSILL_REQUEST_CALL_ACTION_H_
#define MARJORAMSILL_REQUEST_CALL_ACTION_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "process/claims/claim_command.h"
#include "request/final_answer.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

enum class attempt_kind : std::uint8_t { kFirst, kRetry, kResume, kReplay };

/// Open a connection to `endpoint` and send the request. Before the first byte
/// the executor asks ConfirmSend() of the call, and sends only on true.
struct start_attempt {
  attempt_id attempt;
  endpoint_id endpoint;
  attempt_kind kind = attempt_kind::kFirst;
  /// Latest time at which the answer is of use; sent as X-Deadline-Ms.
  steady_time deadline;
  /// A connection that was never used and is not used again (5.3).
  bool fresh_connection = false;
  /// kResume: X-Resume-Attempt and X-Resume-Offset.
  attempt_id resume_attempt;
  std::uint64_t resume_offset = 0;
  /// kReplay: text that the caller already has; the endpoint continues it.
  std::string text_so_far;
};

/// Close the connection of this attempt; its later events are ignored.
struct cancel_attempt {
  attempt_id attempt;
};

/// Send to the claim group of `command.key`.
struct send_claim {
  claim_command command;
};

/// Call OnTimer() at this time. Replaces the earlier one.
struct wake_at {
  steady_time at;
};

/// Write these event bytes to the caller's stream. The first one is preceded by
/// the head of a 200 response of type text/event-stream.
struct deliver_bytes {
  std::string bytes;
};

/// The stream was delivered completely: end the message.
struct end_delivery {};

/// Close the caller's connection without ending the message, so that the caller
/// sees a truncated response as an error.
struct abort_delivery {
  failure_kind reason = failure_kind::kEndpointFailed;
};

struct deliver_whole {
  whole_response response;
};

struct deliver_failure {
  final_failure failure;
};

/// No further events are needed; the call object may be destroyed.
struct end_call {};

using call_action =
    std::variant<start_attempt, cancel_attempt, send_claim, wake_at,
                 deliver_bytes, end_delivery, abort_delivery, deliver_whole,
                 deliver_failure, end_call>;

/// Executed in order, after the lock of the shard is released.
using call_actions = std::vector<call_action>;

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_CALL_ACTION_H_
