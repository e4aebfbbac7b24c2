#ifndef MARJORAMSILL_REQUEST_REQUEST_DIALECT_H_
#define MARJORAMSILL_REQUEST_REQUEST_DIALECT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "process/directory/load_report.h"
#include "process/placement/request_demand.h"
#include "process/placement/stated_terms.h"
#include "request/http_field.h"

namespace marjoramsill {

/// Names of the header fields that callers, entry VMs and endpoints exchange,
/// and functions that parse their values. A deployment may replace them.
struct request_dialect {
  /// Identifies one attempt of a caller. Endpoints echo it in their responses.
  std::string request_id = "X-Request-Id";
  /// Time until the sender stops waiting, in milliseconds.
  std::string remaining_ms = "X-Remaining-Ms";
  /// API key, which selects the workspace. Never forwarded to an endpoint.
  std::string key = "X-Api-Key";
  /// Workspace of the API key, sent to endpoints.
  std::string workspace = "X-Workspace";
  /// Id of the intended endpoint. Any other endpoint refuses the request.
  std::string endpoint = "X-Endpoint";
  /// Priority in the engine's queue, 0 to 9; 0 is the most urgent.
  std::string engine_priority = "X-Engine-Priority";
  /// IP:PORT of an endpoint from which an engine copies cached prefixes.
  std::string cache_source = "X-Cache-Source";
  /// Marks a response of an endpoint, as opposed to one of an entry VM.
  std::string endpoint_proof = "X-Endpoint-Proof";
  /// Present in a response if the endpoint has not run the request.
  std::string not_run = "X-Not-Run";
  /// Id of the last event that the caller has received; resumes a stream.
  std::string last_event_id = "Last-Event-Id";
  /// Id of the request that brought the first event of the resumed stream.
  std::string resumed_request = "X-Resumed-Request";
  /// Ids of the parts of a prompt, for the log.
  std::string prompt_parts = "X-Prompt-Parts";
  /// Further fields that only entry VMs may set; removed from callers'
  /// requests.
  std::vector<std::string> reserved;

  std::function<request_demand(const http_field_list&)> read_demand;
  std::function<std::optional<load_report>(const http_field_list&)> read_load;
  /// What a response with this status says about the requests that its endpoint
  /// takes.
  std::function<stated_terms(int status, const http_field_list&)> read_terms;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_REQUEST_DIALECT_H_
