#ifndef MARJORAMSILL_REQUEST_CALL_ACTION_H_
#define MARJORAMSILL_REQUEST_CALL_ACTION_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "process/claims/claim_command.h"
#include "request/call_result.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// kResume continues the same engine stream on a new connection. kReplay starts
/// a new engine stream on another endpoint that continues the text sent so far.
enum class attempt_kind : std::uint8_t { kFirst, kRetry, kResume, kReplay };

/// Connect to `endpoint` and send the request. Before the first byte the
/// executor calls ConfirmSend() of the call, and sends only if it returns true.
struct start_attempt {
  attempt_id attempt;
  endpoint_id endpoint;
  attempt_kind kind = attempt_kind::kFirst;
  /// A response after this time is useless. The time left is sent as
  /// X-Deadline-Ms.
  steady_time deadline;
  /// Use a new connection and close it afterwards (design 5.3).
  bool fresh_connection = false;
  /// Only for kResume: values of X-Resume-Attempt and X-Resume-Offset.
  attempt_id resume_attempt;
  std::uint64_t resume_offset = 0;
  /// Only for kReplay: text already sent to the caller, which the endpoint
  /// continues.
  std::string text_so_far;
};

/// Close the connection of this attempt. Its later events are ignored.
struct cancel_attempt {
  attempt_id attempt;
};

/// Send the command to the claim group that is responsible for `command.key`.
struct send_claim {
  claim_command command;
};

/// Call OnTimer() at this time. Replaces an earlier wake_at.
struct wake_at {
  steady_time at;
};

/// Write these complete events to the caller's stream. The first deliver_bytes
/// also sends the head of a 200 response of type text/event-stream.
struct deliver_bytes {
  std::string bytes;
};

/// End the message: the stream was delivered completely.
struct end_delivery {};

/// Close the caller's connection without ending the message, so that the caller
/// sees a truncated response as an error.
struct abort_delivery {
  failure_kind reason = failure_kind::kEndpointFailed;
};

/// Send a complete response to the caller.
struct deliver_response {
  complete_response response;
};

/// Send a problem response to the caller.
struct deliver_failure {
  final_failure failure;
};

/// The call has ended and needs no further events; it may be destroyed.
struct end_call {};

using call_action =
    std::variant<start_attempt, cancel_attempt, send_claim, wake_at,
                 deliver_bytes, end_delivery, abort_delivery, deliver_response,
                 deliver_failure, end_call>;

/// Actions to execute in order, after the lock of the shard is released.
using call_actions = std::vector<call_action>;

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_CALL_ACTION_H_
