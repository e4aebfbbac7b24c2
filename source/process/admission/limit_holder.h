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

/// This VM's shares of one workspace's limit: a fixed one that needs no
/// contact, and a leased one that replaces it while it is larger.
class limit_holder {
 public:
  limit_holder(const limit_settings& settings, std::uint64_t life);

  /// Returns false when a newer version is known.
  bool SetLimit(const workspace_limit& limit);
  /// Rates start with a full bucket at the first call.
  void SetFixed(double tokens_per_second, std::uint32_t concurrent,
                steady_time now);
  void SetCandidates(std::vector<vm_id> candidates);

  limit_decision Offer(request_handle request, double cost, steady_time now);
  void Finish(double cost, double used, steady_time now);
  bool Cancel(request_handle request);

  void OnGrant(const limit_message& grant, steady_time now);
  void OnRecall(steady_time now);
  /// Decides waiting requests and asks the allocator when needed.
  void Update(const workspace_id& workspace, steady_time now,
              limit_actions& actions);

  /// Neither exchanges messages nor has requests waiting.
  bool quiet(steady_time now) const;
  const workspace_limit& limit() const { return limit_; }
  std::uint32_t running() const { return running_; }
  /// Memory besides the object itself.
  std::size_t MemoryBytes() const;
  /// Version of the fleet that the fixed share was computed for.
  std::uint64_t fleet_version = 0;

 private:
  struct waiting_request {
    request_handle request;
    double cost;
    steady_time until;
  };

  void Refill(steady_time now);
  bool Take(double cost, steady_time now);
  bool IsEngaged() const;
  bool MayWait(steady_time now) const;
  bool IsHopeless(steady_time now) const;
  bool IsIsolated() const { return unanswered_ >= candidates_.size(); }
  bool MustAsk(steady_time now) const;
  void Ask(const workspace_id& workspace, steady_time now,
           std::vector<limit_send>& send);
  void CheckTimeout(steady_time now);
  double TokenShare(steady_time now) const;
  std::uint32_t ConcurrentShare(steady_time now) const;
  double WantedTokens(steady_time now) const;
  std::uint32_t WantedConcurrent() const;

  limit_settings settings_;
  workspace_limit limit_;
  double fixed_tokens_ = 0;
  std::uint32_t fixed_concurrent_ = 0;
  double leased_tokens_ = 0;
  std::uint32_t leased_concurrent_ = 0;
  steady_time leased_until_;

  std::uint32_t running_ = 0;
  /// Token bucket; negative after a request that cost more than was left.
  double level_ = 0;
  steady_time refilled_at_;
  bool started_ = false;
  /// Decayed cost offered per second.
  double demand_ = 0;
  /// The same over a shorter time, to give up a share soon after its use ends.
  double recent_demand_ = 0;
  bool recalled_ = false;
  /// Until then a smaller demand is reported soon.
  steady_time returning_until_;
  std::deque<waiting_request> waiting_;

  std::vector<vm_id> candidates_;
  std::size_t candidate_ = 0;
  std::uint64_t sequence_;
  steady_time asked_at_;
  double asked_tokens_ = 0;
  std::uint32_t asked_concurrent_ = 0;
  /// What the allocator believes to be in use here at most.
  std::uint32_t reported_concurrent_ = 0;
  bool asked_ = false;
  bool outstanding_ = false;
  /// Asks without an answer since the last answer.
  std::uint32_t unanswered_ = 0;
  /// The allocator gave less than was wanted and expects no share back: the
  /// limit itself is reached.
  bool contended_ = false;
  /// Shares of others were recalled: they follow without another ask.
  bool expecting_ = false;
  bool ask_again_ = false;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_LIMIT_HOLDER_H_
