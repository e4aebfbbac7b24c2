#ifndef MARJORAMSILL_REQUEST_ENDPOINT_ATTEMPT_H_
#define MARJORAMSILL_REQUEST_ENDPOINT_ATTEMPT_H_

#include <cstdint>
#include <memory>
#include <string>

#include "connection/endpoint_response_head.h"
#include "process/directory/stream_origin.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

class endpoint_connection;

/// State of one attempt of a proxied_call at an endpoint or another entry VM.
struct endpoint_attempt {
  std::shared_ptr<endpoint_connection> connection;
  /// The endpoint, or the address of the VM that the request was handed on to.
  endpoint_id endpoint;
  /// The attempt is at another entry VM.
  bool is_handed_on = false;
  /// Attempts that this one stands for: those that the other VM may make.
  int granted = 1;
  software_digest software;
  /// Endpoint that the prefix is copied from; empty: none.
  std::string fetch_from;
  /// The endpoint's load estimate counts this attempt as in progress.
  bool is_counted = false;
  /// The endpoint's load when it was chosen, and the age of the report behind
  /// it in milliseconds, negative without one.
  double estimated_load = 0;
  double estimate_age_ms = -1;
  /// placement_choice::usual_ms.
  double usual_ms = 0;
  steady_time started;
  /// The request was sent then.
  steady_time sent_at;
  steady_time last_progress;
  /// Start of the pauses that RecordPace() measures, and events since.
  steady_time pace_since;
  std::uint64_t pace_events = 0;
  /// The attempt waits for the records of endpoints.
  bool is_record_awaited = false;
  endpoint_response_head head;
  /// Bytes of the body that have been received, and how many had been at
  /// `last_progress`.
  std::uint64_t received_bytes = 0;
  std::uint64_t counted_bytes = 0;
  /// The attempt has brought an event.
  bool has_event = false;
  /// The attempt is not replaced before then.
  steady_time replacement_retry_at;
  /// The endpoint reported that it has not run the request.
  bool is_rejected = false;
  bool is_stream = false;
  /// Body of a response that is not streamed.
  std::string body;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_ENDPOINT_ATTEMPT_H_
