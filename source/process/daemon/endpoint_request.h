#ifndef MARJORAMSILL_PROCESS_DAEMON_ENDPOINT_REQUEST_H_
#define MARJORAMSILL_PROCESS_DAEMON_ENDPOINT_REQUEST_H_

#include <string>

#include "connection/endpoint_call.h"
#include "process/claims/stored_response.h"
#include "request/call_action.h"
#include "request/classified_request.h"
#include "request/http_request.h"
#include "request/response_head.h"

namespace marjoramsill {

/// Builds the HTTP request of one attempt, without its hooks. `address` is
/// IP:PORT.
endpoint_call MakeEndpointCall(const http_request& request,
                               const classified_request& classified,
                               const start_attempt& attempt,
                               const request_id& id, const std::string& address,
                               steady_time now);

/// Converts the head of an endpoint's response for attempt_plan and claim_flow.
response_head MakeResponseHead(int status, const http_field_list& fields,
                               const std::string& method);

/// Returns the fields of an endpoint's response that are forwarded to the
/// caller.
http_field_list CallerFields(const http_fields& headers);

/// Returns a request body with `text`, which the caller already has, appended
/// as a last assistant message for the engine to continue.
std::string ReplayBody(const std::string& body, const std::string& text);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_ENDPOINT_REQUEST_H_
