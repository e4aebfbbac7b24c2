#ifndef MARJORAMSILL_PROCESS_DAEMON_REQUEST_HANDLER_H_
#define MARJORAMSILL_PROCESS_DAEMON_REQUEST_HANDLER_H_

#include <atomic>
#include <cstddef>
#include <memory>

#include "process/daemon/workspace_handles.h"
#include "request/classifier.h"
#include "request/http_request.h"

namespace marjoramsill {

class http_responder;
class limits_service;
class policy_distribution;
class policy_store;
class policy_snapshot;
class pool_shards;
struct call_services;

/// Handles the requests of callers: classifies them and passes them to the
/// shard of their pool.
class request_handler {
 public:
  request_handler(call_services& services, const policy_store& policy,
                  const pool_shards& shards, limits_service& limits,
                  policy_distribution& distribution, classifier_limits bounds);

  void Handle(http_request request,
              const std::shared_ptr<http_responder>& responder);
  /// Number of calls that have not ended, including those whose caller has
  /// disconnected.
  std::size_t open_calls() const { return *open_calls_; }

 private:
  /// If the workspace is unknown only because this VM does not hold all
  /// sections yet, fetches its section and returns a problem with Retry-After.
  /// Otherwise returns `reason`.
  problem FetchMissingWorkspace(const policy_snapshot& policy,
                                const problem& reason,
                                const http_request& request);
  void Refuse(const problem& reason,
              const std::shared_ptr<http_responder>& responder) const;

  call_services& services_;
  const policy_store& policy_;
  const pool_shards& shards_;
  limits_service& limits_;
  policy_distribution& distribution_;
  const classifier_limits bounds_;
  workspace_handles workspaces_;
  std::shared_ptr<std::atomic<std::size_t>> open_calls_ =
      std::make_shared<std::atomic<std::size_t>>(0);
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_REQUEST_HANDLER_H_
