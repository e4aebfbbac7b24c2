#ifndef MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_QUEUE_H_
#define MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "process/admission/admission_types.h"
#include "process/admission/drain_rate.h"
#include "process/admission/entry_pool.h"
#include "process/admission/fair_queue.h"
#include "process/admission/rank_shares.h"
#include "types/random_source.h"

namespace marjoramsill {

/// Admission control of one model or service: ranks with guaranteed shares,
/// fair queueing between workspaces by cost, and early rejection of requests
/// that cannot meet their deadline. Not thread-safe: guarded by the lock of its
/// shard. Work-conserving: no method returns with idle capacity while an
/// admissible request is queued.
class admission_queue {
 public:
  admission_queue(const admission_policy& policy, random_source random);

  /// Admits, queues or rejects. A rejection is final.
  offer_result Offer(const admission_offer& offer, steady_time now);

  /// Records the end of an admitted request; `used` is its actual cost. Returns
  /// false if the ticket does not belong to an admitted request.
  bool Finish(admission_ticket ticket, cost_units used, steady_time now,
              admission_actions& actions);

  /// Removes a queued request, for example when its caller disconnects. Returns
  /// false if the ticket does not belong to a queued request.
  bool Cancel(admission_ticket ticket);

  void SetCapacity(const admission_capacity& capacity, steady_time now,
                   admission_actions& actions);

  /// Also applies to requests that are already queued.
  void SetPolicy(const admission_policy& policy);

  /// Admits queued requests and rejects those that can no longer meet their
  /// deadline. Call every 10 ms while requests are queued: eight calls check
  /// every queued request once.
  void Tick(steady_time now, admission_actions& actions);

  std::size_t queued(rank queue_rank) const;
  cost_units queued_cost(rank queue_rank) const;
  std::uint32_t running() const { return running_; }
  cost_units running_cost() const { return cost_units(running_cost_); }
  /// Estimated cost per second that is admitted from the rank; empty before the
  /// first request runs.
  std::optional<double> EstimatedRate(rank queue_rank) const;
  /// Memory in use, in bytes.
  std::size_t MemoryBytes() const;

 private:
  bool HasCapacity() const;
  bool IsCapacityGraceOver(steady_time now) const;
  void AdmitQueued(steady_time now, admission_actions& actions);
  void StartRunning(entry_index index);
  void RejectLate(rank queue_rank, steady_time now, admission_actions& actions);
  void RejectAll(admission_actions& actions);
  void Reject(entry_index index, rejection_kind kind, double wait_seconds,
              admission_actions& actions);
  double UsableCost() const;
  double WaitSeconds(rank queue_rank, double work) const;
  admission_rejection MakeRejection(rejection_kind kind, double wait_seconds);
  offer_result Enqueue(const admission_offer& offer, steady_time now);
  std::array<bool, kRankCount> Backlogged() const;
  void Observe(steady_time now);

  admission_policy policy_;
  random_source random_;
  admission_capacity capacity_;
  std::optional<steady_time> no_capacity_since_;
  entry_pool pool_;
  std::array<fair_queue, kRankCount> queues_;
  rank_shares shares_;
  drain_rate drain_;
  std::uint32_t running_ = 0;
  std::uint64_t running_cost_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_QUEUE_H_
