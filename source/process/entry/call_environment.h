#ifndef MARJORAMSILL_PROCESS_ENTRY_CALL_ENVIRONMENT_H_
#define MARJORAMSILL_PROCESS_ENTRY_CALL_ENVIRONMENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "process/directory/stream_origin.h"
#include "process/entry/endpoint_end_finding.h"
#include "request/request_dialect.h"
#include "types/ids.h"
#include "types/random_source.h"
#include "types/steady_time.h"

namespace marjoramsill {

class decision_log;
class endpoint_connection_pool;
class endpoint_pool;
class entry_metrics;
class content_breaker;
class relay_table;
class retry_window;
class routing_table;
class stop_sequence;
struct endpoint_record;
struct origin_finding;
struct content_trial;
struct content_trial_request;
struct request_content;
struct prompt_part;
struct route_rule;
struct unconfirmed_origin;

/// State and services that all calls of one entry process share.
struct call_environment {
  request_dialect dialect;
  endpoint_connection_pool* connections = nullptr;
  entry_metrics* metrics = nullptr;
  decision_log* log = nullptr;
  /// Returns the routing table in force, or null before the first document.
  std::function<std::shared_ptr<const routing_table>()> table;
  /// True if the document in force is proven to be current, so that a request
  /// which it does not allow may be denied.
  std::function<bool()> is_document_current;
  /// False while a request that arrives must be refused, because the evacuation
  /// set may be out of date. Null: always true.
  std::function<bool()> may_serve;
  /// Returns the endpoints of a pool; never null.
  std::function<endpoint_pool*(const model_id&)> pool;
  /// Finds the software that began the stream of a request on this route, and
  /// calls the hook with it, now or later.
  std::function<void(const std::string& request, const route_rule& route,
                     std::function<void(const origin_finding&)>)>
      find_origin;
  /// Records the software that brought the first event of a request's stream.
  std::function<void(const std::string& request, const model_id& pool,
                     software_digest)>
      record_origin;
  /// Calls the hook, now or later, once the records of endpoints are those of
  /// this moment or later, by most of the control processes; with false if that
  /// could not be confirmed in time.
  std::function<void(steady_time moment, std::function<void(bool)>)>
      await_records;
  /// Returns the moment up to which a control process has confirmed the records
  /// of endpoints; nothing before the first confirmation.
  std::function<std::optional<steady_time>()> records_as_of;
  /// Records the software of a stream once the endpoint's record is confirmed.
  std::function<void(const unconfirmed_origin&)> record_origin_later;
  /// Returns the retry budget of a pool; never null.
  std::function<retry_window*(const model_id&)> retries;
  content_breaker* contents = nullptr;
  /// Asks for leases on refused contents, and calls the hook, now or later,
  /// with what is granted: one request may be sent with the contents now.
  /// Nothing if it may not.
  std::function<void(
      const std::vector<content_trial>&,
      std::function<void(const std::optional<content_trial_request>&)>)>
      request_trial;
  /// Gives back leases of a request that was not sent.
  std::function<void(const content_trial_request&)> release_trial;
  /// Finds out whether an endpoint has ended whose connection broke under a
  /// request with this content, and records it against the content. The hook,
  /// which may be null, receives the finding later.
  std::function<void(const endpoint_record&, const request_content&,
                     std::function<void(endpoint_end_finding)>)>
      check_end;
  /// Finds out whether an endpoint has ended that closed a connection, and
  /// calls the hook with it later.
  std::function<void(const endpoint_record&,
                     std::function<void(endpoint_end_finding)>)>
      find_end;
  /// Connections to other entry VMs, and those that take requests.
  endpoint_connection_pool* relay_connections = nullptr;
  relay_table* relays = nullptr;
  /// Port at which this VM serves its document to others.
  std::uint16_t document_port = 0;
  /// Starts to fetch a document from the entry VM that has it in force.
  std::function<void(const vm_id&, document_version)> fetch_document;
  /// Returns the number of entry VMs in the fleet, as last reported.
  std::function<std::uint32_t()> entry_count;
  /// Decides which requests a process that stops still takes.
  const stop_sequence* stop = nullptr;
  std::function<steady_time()> clock;
  random_source random;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_CALL_ENVIRONMENT_H_
