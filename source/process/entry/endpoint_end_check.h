#ifndef MARJORAMSILL_PROCESS_ENTRY_ENDPOINT_END_CHECK_H_
#define MARJORAMSILL_PROCESS_ENTRY_ENDPOINT_END_CHECK_H_

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "process/directory/content_fault.h"
#include "process/directory/endpoint_record.h"
#include "process/entry/endpoint_end_finding.h"

namespace marjoramsill {

class endpoint_connection;
class endpoint_connection_pool;

/// Finds out whether an endpoint has ended that closed a connection. It is
/// alive if it accepts a connection, or if anything is read from it after it
/// refused one: an endpoint with too many connections resets new ones. It has
/// ended if it refuses connections and all others have ended as well. An open
/// connection alone shows nothing. Used on the thread of the entry process.
class endpoint_end_check {
 public:
  /// Receives an endpoint that has ended and the parts that may be the cause.
  using ended_hook = std::function<void(const endpoint_record&,
                                        const std::vector<content_digest>&)>;

  using finding_hook = std::function<void(endpoint_end_finding)>;

  endpoint_end_check(asio::io_context& io,
                     endpoint_connection_pool& connections,
                     ended_hook on_ended);

  /// Checks the endpoint once for all suspects and hooks that are added
  /// meanwhile. `done` may be null.
  void Start(const endpoint_record& endpoint,
             const std::vector<content_digest>& suspects, finding_hook done);

 private:
  /// What was read from a connection when the endpoint refused another one.
  struct read_mark {
    std::weak_ptr<endpoint_connection> connection;
    std::uint64_t bytes_read = 0;
  };

  struct open_check {
    endpoint_record endpoint;
    std::vector<content_digest> suspects;
    std::vector<finding_hook> done;
    std::vector<read_mark> marks;
    /// Refused connection attempts.
    int refusals = 0;
  };

  void ConnectAfter(std::chrono::milliseconds delay, endpoint_run_digest run);
  void Connect(endpoint_run_digest run);
  void OnRefused(endpoint_run_digest run);
  static bool HasReadMore(const std::vector<read_mark>& marks);
  void Finish(endpoint_run_digest run, endpoint_end_finding finding);

  asio::io_context& io_;
  endpoint_connection_pool& connections_;
  const ended_hook on_ended_;
  std::map<endpoint_run_digest, open_check> open_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_ENDPOINT_END_CHECK_H_
