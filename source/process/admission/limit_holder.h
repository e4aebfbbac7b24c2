#ifndef MARJORAMSILL_PROCESS_ADMISSION_LIMIT_HOLDER_H_
#define MARJORAMSILL_PROCESS_ADMISSION_LIMIT_HOLDER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "process/admission/limit_types.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// This VM's shares of one workspace's limit: a fixed share that needs no
/// communication, and a leased share that replaces it while the lease is valid
/// and larger.
class limit_holder {
 public:
  limit_holder(const limit_settings& settings, std::uint64_t incarnation);

  /// Returns false if a newer version is known.
  bool SetLimit(const workspace_limit& limit);
  /// The first call fills the token bucket.
  void SetFixedShare(double tokens_per_second, std::uint32_t concurrent,
                     steady_time now);
  void SetCandidates(std::vector<vm_id> candidates);

  limit_decision Offer(request_handle request, double cost, steady_time now);
  void Finish(double cost, double used, steady_time now);
  bool Cancel(request_handle request);

  void OnShareGrant(const limit_message& grant, steady_time now);
  void OnRecall(steady_time now);
  /// Decides waiting requests and sends a share request when needed.
  void Update(const workspace_id& workspace, steady_time now,
              limit_actions& actions);

  /// True if the holder has no waiting requests, no lease and no message
  /// exchange.
  bool idle(steady_time now) const;
  const workspace_limit& limit() const { return limit_; }
  std::uint32_t running() const { return running_; }
  /// Memory in use in bytes, excluding the object itself.
  std::size_t MemoryBytes() const;
  /// Fleet version for which the fixed share was computed.
  std::uint64_t fleet_version = 0;

 private:
  struct waiting_request {
    request_handle request;
    double cost;
    steady_time deadline;
  };

  void Refill(steady_time now);
  bool TryTake(double cost, steady_time now);
  bool NeedsLease() const;
  bool MayWait(steady_time now) const;
  bool IsWaitFutile(steady_time now) const;
  bool IsIsolated() const { return timed_out_requests_ >= candidates_.size(); }
  bool MustRequest(steady_time now) const;
  void RequestShare(const workspace_id& workspace, steady_time now,
                    std::vector<outgoing_limit_message>& send);
  void CheckTimeout(steady_time now);
  double TokenShare(steady_time now) const;
  std::uint32_t ConcurrentShare(steady_time now) const;
  double RequiredTokens(steady_time now) const;
  std::uint32_t RequiredConcurrent() const;

  limit_settings settings_;
  workspace_limit limit_;
  double fixed_tokens_ = 0;
  std::uint32_t fixed_concurrent_ = 0;
  double leased_tokens_ = 0;
  std::uint32_t leased_concurrent_ = 0;
  steady_time leased_until_;

  std::uint32_t running_ = 0;
  /// Level of the token bucket; negative after a request that cost more than
  /// the remaining tokens.
  double bucket_ = 0;
  steady_time refilled_at_;
  bool started_ = false;
  /// Offered cost per second, exponentially decayed.
  double demand_ = 0;
  /// The same with a shorter decay time, so that a share is returned soon after
  /// its use ends.
  double recent_demand_ = 0;
  bool recalled_ = false;
  /// Until this time a reduced demand is reported without waiting for the
  /// renewal.
  steady_time returning_until_;
  std::deque<waiting_request> waiting_;

  std::vector<vm_id> candidates_;
  std::size_t current_candidate_ = 0;
  std::uint64_t sequence_;
  steady_time requested_at_;
  double requested_tokens_ = 0;
  std::uint32_t requested_concurrent_ = 0;
  /// Upper bound, as known to the allocator, of the concurrency in use here.
  std::uint32_t reported_concurrent_ = 0;
  bool has_requested_ = false;
  bool outstanding_ = false;
  /// Share requests that timed out since the last response.
  std::uint32_t timed_out_requests_ = 0;
  /// The allocator granted less than requested without recalling other shares:
  /// the workspace limit itself is reached.
  bool limit_reached_ = false;
  /// Shares of other VMs were recalled; further grants follow without another
  /// request.
  bool awaiting_recalls_ = false;
  bool request_again_ = false;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_LIMIT_HOLDER_H_
