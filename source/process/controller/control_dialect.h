#ifndef MARJORAMSILL_PROCESS_CONTROLLER_CONTROL_DIALECT_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_CONTROL_DIALECT_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "process/directory/endpoint_record.h"
#include "types/result.h"
#include "version/routing/routing_document.h"
#include "version/routing/routing_error.h"

namespace marjoramsill {

/// Paths of the control interface and how the bodies of its calls are read.
/// A deployment may replace them.
struct control_dialect {
  /// Submits (PUT) or reads (GET) the routing document.
  std::string document_path = "/v1/document";
  /// Followed by an endpoint's id: heartbeat (PUT) or end (DELETE).
  std::string endpoint_prefix = "/v1/endpoints/";

  std::function<result<routing_document, routing_error>(std::string_view)>
      read_document;
  /// Nothing for bytes that describe no endpoint that could be used.
  std::function<std::optional<endpoint_record>(const endpoint_id&,
                                               std::string_view)>
      read_heartbeat;
  /// Body of the answer to a heartbeat. `address`: where the endpoint shall
  /// send the next ones.
  std::function<std::string(const std::string& address)> heartbeat_answer;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_CONTROL_DIALECT_H_
