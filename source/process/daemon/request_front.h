#ifndef MARJORAMSILL_PROCESS_DAEMON_REQUEST_FRONT_H_
#define MARJORAMSILL_PROCESS_DAEMON_REQUEST_FRONT_H_

#include <atomic>
#include <cstddef>
#include <memory>

#include "process/daemon/workspace_handles.h"
#include "request/caller_request.h"
#include "request/classifier.h"

namespace marjoramsill {

class http_responder;
class limits_service;
class policy_distribution;
class policy_store;
class policy_snapshot;
class pool_shards;
struct call_services;

/// Takes the requests of callers: classifies them and hands them to the shard
/// of their pool.
class request_front {
 public:
  request_front(call_services& services, const policy_store& policy,
                const pool_shards& shards, limits_service& limits,
                policy_distribution& distribution, classifier_limits bounds);

  void Handle(caller_request request,
              const std::shared_ptr<http_responder>& responder);
  /// Calls that have not ended, those included whose caller has gone.
  std::size_t open_calls() const { return *open_calls_; }

 private:
  /// A workspace that is unknown because this VM does not hold all sections yet
  /// is fetched; the caller is told to come back.
  problem CheckHeld(const policy_snapshot& policy, const problem& reason,
                    const caller_request& request);
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

#endif  // MARJORAMSILL_PROCESS_DAEMON_REQUEST_FRONT_H_
