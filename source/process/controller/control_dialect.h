#ifndef MARJORAMSILL_PROCESS_CONTROLLER_CONTROL_DIALECT_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_CONTROL_DIALECT_H_

#include <functional>
#include <string>
#include <string_view>

#include "process/controller/heartbeat_error.h"
#include "process/directory/endpoint_record.h"
#include "types/result.h"
#include "version/routing/routing_document.h"
#include "version/routing/routing_error.h"

namespace marjoramsill {

/// Paths of the control interface, and functions that decode and encode its
/// bodies. A deployment can replace them.
struct control_dialect {
  /// Path to submit (PUT) or read (GET) the routing document.
  std::string document_path = "/v1/document";
  /// Path prefix followed by the id of an endpoint: heartbeat (PUT) or end
  /// (DELETE).
  std::string endpoint_prefix = "/v1/endpoints/";
  /// Path prefix followed by a failure domain: evacuate it (POST) or withdraw
  /// its evacuation (DELETE).
  std::string evacuation_prefix = "/v1/evacuations/";

  std::function<result<routing_document, routing_error>(std::string_view)>
      read_document;
  /// Decodes a heartbeat; fails if the bytes describe no usable endpoint.
  std::function<result<endpoint_record, heartbeat_error>(const endpoint_id&,
                                                         std::string_view)>
      read_heartbeat;
  /// Body of the response to a heartbeat. `address`: where the endpoint should
  /// send its next heartbeats.
  std::function<std::string(const std::string& address)> heartbeat_response;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_CONTROL_DIALECT_H_
