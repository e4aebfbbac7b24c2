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

struct claim_flow_settings {
  claim_key key;
  content_hash request_hash;
  claim_owner owner;
  steady_time deadline;
  /// A grant that takes longer is not acted on. Covers one election (1-2 s).
  std::chrono::microseconds claim_timeout = std::chrono::seconds(3);
  /// Pause before a claim is sent again, and before the outcome is sent again
  /// for the first time; later pauses double.
  std::chrono::microseconds resend_pause = std::chrono::milliseconds(250);
  /// Least time to the deadline at which the request is still sent.
  std::chrono::microseconds min_send_time = std::chrono::milliseconds(10);
  /// How long the outcome is sent again after the answer until acknowledged.
  std::chrono::microseconds settle_timeout = std::chrono::seconds(10);
  std::size_t max_endpoints = 3;
  std::size_t max_body_bytes = body_collector::kDefaultMaxBytes;
  std::chrono::seconds retry_after = std::chrono::seconds(2);
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_CLAIM_FLOW_SETTINGS_H_
