#ifndef MARJORAMSILL_REQUEST_CLAIM_FLOW_SETTINGS_H_
#define MARJORAMSILL_REQUEST_CLAIM_FLOW_SETTINGS_H_

#include <chrono>
#include <cstddef>

#include "process/claims/claim_key.h"
#include "process/claims/claim_owner.h"
#include "process/claims/content_hash.h"
#include "request/body_collector.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Settings of one non-repeatable call.
struct claim_flow_settings {
  claim_key key;
  content_hash request_hash;
  claim_owner owner;
  steady_time deadline;
  /// A grant that arrives later is not used. Long enough for one leader
  /// election, which takes 1-2 s.
  std::chrono::microseconds claim_timeout = std::chrono::seconds(3);
  /// Delay before a claim is sent again, and before the outcome is sent again
  /// for the first time; the delay then doubles for each further resend.
  std::chrono::microseconds resend_delay = std::chrono::milliseconds(250);
  /// The request is not sent with less time than this to the deadline.
  std::chrono::microseconds min_remaining_time = std::chrono::milliseconds(10);
  /// How long the outcome is resent while the claim group has not acknowledged
  /// it.
  std::chrono::microseconds outcome_resend_timeout = std::chrono::seconds(10);
  /// At most this many endpoints are tried, until the request is sent to one.
  std::size_t max_endpoints = 3;
  std::size_t max_body_bytes = body_collector::kDefaultMaxBytes;
  /// Base of the jittered Retry-After of a failure.
  std::chrono::seconds retry_after = std::chrono::seconds(2);
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_CLAIM_FLOW_SETTINGS_H_
