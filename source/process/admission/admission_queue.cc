#include "process/admission/admission_queue.h"

#include <algorithm>
#include <utility>

namespace marjoramsill {
namespace {

constexpr std::size_t kMinSweepVisits = 64;
/// Number of Tick() calls that together visit every queued request once.
constexpr std::size_t kTicksPerSweep = 8;
/// Upper bound of an estimated wait, used when the estimated rate is close to
/// 0.
constexpr double kMaxWaitSeconds = 3600;

constexpr std::size_t Index(rank value) {
  return static_cast<std::size_t>(value);
}

std::chrono::microseconds Microseconds(double seconds) {
  return std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6));
}

}  // namespace

admission_queue::admission_queue(const admission_policy& policy,
                                 random_source random)
    : random_(std::move(random)) {
  SetPolicy(policy);
}

void admission_queue::SetPolicy(const admission_policy& policy) {
  policy_ = policy;
  shares_.SetShares(policy);
}

offer_result admission_queue::Offer(const admission_offer& offer,
                                    steady_time now) {
  if (offer.cost.value() == 0 || !(offer.weight > 0)) {
    return failure(admission_rejection{.kind = rejection_kind::kInvalid});
  }
  Observe(now);
  if (IsCapacityGraceOver(now)) {
    return failure(MakeRejection(rejection_kind::kNoCapacity, 0));
  }
  if (now + offer.expected_service > offer.deadline) {
    return failure(MakeRejection(rejection_kind::kDeadline, 0));
  }
  if (!HasCapacity()) return Enqueue(offer, now);
  const entry_index index = pool_.Allocate(offer);
  shares_.OnAdmitted({.rank = offer.rank, .overtakes = false},
                     static_cast<double>(offer.cost.value()), Backlogged());
  StartRunning(index);
  return accepted_offer{.state = offer_state::kAdmitted,
                        .ticket = pool_.Ticket(index)};
}

offer_result admission_queue::Enqueue(const admission_offer& offer,
                                      steady_time now) {
  fair_queue& queue = queues_.at(Index(offer.rank));
  const rank_admission& bounds = policy_.ranks.at(Index(offer.rank));
  const auto workspace = static_cast<std::uint32_t>(offer.workspace.value());
  const double wait =
      WaitSeconds(offer.rank, queue.WorkAhead(workspace, offer.weight));
  if (now + Microseconds(wait) + offer.expected_service > offer.deadline) {
    return failure(MakeRejection(rejection_kind::kDeadline, wait));
  }
  if (queue.size() >= bounds.max_queued) {
    return failure(MakeRejection(rejection_kind::kRankQueueFull, wait));
  }
  // A workspace may queue at most as many requests as the rank's queue has free
  // entries, so that there is always space for a workspace without a backlog,
  // however many others have one (dynamic thresholds, Choudhury and Hahne,
  // 1998).
  const std::size_t bound = std::min(bounds.max_queued_per_workspace,
                                     bounds.max_queued - queue.size());
  if (queue.QueuedOf(workspace) >= bound) {
    return failure(MakeRejection(rejection_kind::kWorkspaceQueueFull, wait));
  }
  const entry_index index = pool_.Allocate(offer);
  pool_.at(index).state = entry_state::kQueued;
  queue.Push(pool_, index, offer.weight);
  return accepted_offer{.state = offer_state::kQueued,
                        .ticket = pool_.Ticket(index)};
}

bool admission_queue::Finish(admission_ticket ticket, cost_units used,
                             steady_time now, admission_actions& actions) {
  const entry_index index = pool_.Find(ticket, entry_state::kRunning);
  if (index == kNoEntry) return false;
  Observe(now);
  const admission_entry& entry = pool_.at(index);
  const auto cost = static_cast<double>(entry.cost);
  const auto actual = static_cast<double>(used.value());
  drain_.OnEnded(actual, cost, entry.service);
  queues_.at(Index(entry.rank)).CorrectCharge(entry.workspace, actual - cost);
  shares_.OnCostCorrected({.rank = entry.rank, .overtakes = entry.overtakes},
                          actual - cost, Backlogged());
  --running_;
  running_cost_ -= entry.cost;
  pool_.Free(index);
  AdmitQueued(now, actions);
  return true;
}

bool admission_queue::Cancel(admission_ticket ticket) {
  const entry_index index = pool_.Find(ticket, entry_state::kQueued);
  if (index == kNoEntry) return false;
  queues_.at(Index(pool_.at(index).rank)).Remove(pool_, index);
  pool_.Free(index);
  return true;
}

void admission_queue::SetCapacity(const admission_capacity& capacity,
                                  steady_time now, admission_actions& actions) {
  Observe(now);
  capacity_ = capacity;
  const bool has_none = capacity.cost.value() == 0 || capacity.concurrency == 0;
  if (!has_none) {
    no_capacity_since_.reset();
  } else if (!no_capacity_since_) {
    no_capacity_since_ = now;
  }
  AdmitQueued(now, actions);
}

void admission_queue::Tick(steady_time now, admission_actions& actions) {
  Observe(now);
  if (IsCapacityGraceOver(now)) return RejectAll(actions);
  for (std::size_t i = 0; i < kRankCount; ++i) {
    RejectLate(static_cast<rank>(i), now, actions);
  }
  AdmitQueued(now, actions);
}

void admission_queue::AdmitQueued(steady_time now, admission_actions& actions) {
  while (HasCapacity()) {
    const std::array<bool, kRankCount> backlogged = Backlogged();
    const std::optional<rank_shares::choice> next = shares_.Choose(backlogged);
    if (!next) return;
    fair_queue& queue = queues_.at(Index(next->rank));
    const entry_index index = queue.Next();
    if (now + pool_.at(index).service > pool_.at(index).deadline) {
      queue.Remove(pool_, index);
      Reject(index, rejection_kind::kDeadline,
             WaitSeconds(next->rank, static_cast<double>(queue.cost())),
             actions);
      continue;
    }
    queue.Take(pool_);
    pool_.at(index).overtakes = next->overtakes;
    shares_.OnAdmitted(*next, static_cast<double>(pool_.at(index).cost),
                       backlogged);
    StartRunning(index);
    actions.push_back({.kind = admission_action_kind::kAdmit,
                       .request = pool_.at(index).request,
                       .ticket = pool_.Ticket(index),
                       .rejection = {}});
  }
}

void admission_queue::StartRunning(entry_index index) {
  admission_entry& entry = pool_.at(index);
  entry.state = entry_state::kRunning;
  ++running_;
  running_cost_ += entry.cost;
  drain_.OnStarted(entry.rank, static_cast<double>(entry.cost), entry.service);
}

void admission_queue::RejectLate(rank queue_rank, steady_time now,
                                 admission_actions& actions) {
  fair_queue& queue = queues_.at(Index(queue_rank));
  const std::size_t budget =
      std::min(queue.size(),
               std::max(kMinSweepVisits, queue.size() / kTicksPerSweep + 1));
  const auto is_late = [&](entry_index index, double work) {
    const admission_entry& entry = pool_.at(index);
    return now + Microseconds(WaitSeconds(queue_rank, work)) + entry.service >
           entry.deadline;
  };
  const auto reject = [&](entry_index index) {
    Reject(index, rejection_kind::kDeadline,
           WaitSeconds(queue_rank, static_cast<double>(queue.cost())), actions);
  };
  for (std::size_t visited = 0; visited < budget && !queue.empty();) {
    visited += queue.VisitNextWorkspace(pool_, is_late, reject);
  }
}

void admission_queue::RejectAll(admission_actions& actions) {
  for (fair_queue& queue : queues_) {
    while (!queue.empty()) {
      const entry_index index = queue.Next();
      queue.Remove(pool_, index);
      Reject(index, rejection_kind::kNoCapacity, 0, actions);
    }
  }
}

void admission_queue::Reject(entry_index index, rejection_kind kind,
                             double wait_seconds, admission_actions& actions) {
  actions.push_back({.kind = admission_action_kind::kReject,
                     .request = pool_.at(index).request,
                     .ticket = pool_.Ticket(index),
                     .rejection = MakeRejection(kind, wait_seconds)});
  pool_.Free(index);
}

admission_rejection admission_queue::MakeRejection(rejection_kind kind,
                                                   double wait_seconds) {
  const std::chrono::microseconds mean =
      std::clamp(Microseconds(wait_seconds), policy_.min_retry_after,
                 policy_.max_retry_after);
  // Uniformly distributed between 0.5 and 1.5 times the mean.
  const double fraction = static_cast<double>(random_() >> 11U) * 0x1p-53;
  const double seconds = std::chrono::duration<double>(mean).count();
  return {.kind = kind,
          .retry_after = Microseconds(seconds * (0.5 + fraction))};
}

double admission_queue::WaitSeconds(rank queue_rank, double work) const {
  if (work <= 0) return 0;
  const std::optional<double> rate = EstimatedRate(queue_rank);
  if (!rate) return 0;
  return *rate * kMaxWaitSeconds > work ? work / *rate : kMaxWaitSeconds;
}

std::optional<double> admission_queue::EstimatedRate(rank queue_rank) const {
  const std::optional<double> total = drain_.TotalRate(UsableCost());
  if (!total) return std::nullopt;
  double remaining = *total;
  for (std::size_t i = 0; i < kRankCount; ++i) {
    const auto other = static_cast<rank>(i);
    if (other < queue_rank) {
      remaining -= drain_.Admitted(other);
    } else if (other > queue_rank && !queues_.at(i).empty()) {
      remaining -= shares_.share(other) * *total;
    }
  }
  return std::max(remaining, shares_.share(queue_rank) * *total);
}

double admission_queue::UsableCost() const {
  if (running_ == 0) return 0;
  // After the capacity was reduced, more is running than may be replaced.
  const auto running_cost = static_cast<double>(running_cost_);
  const double by_concurrency = running_cost * capacity_.concurrency / running_;
  return std::min({running_cost, by_concurrency,
                   static_cast<double>(capacity_.cost.value())});
}

bool admission_queue::HasCapacity() const {
  return running_cost_ < capacity_.cost.value() &&
         running_ < capacity_.concurrency;
}

bool admission_queue::IsCapacityGraceOver(steady_time now) const {
  return no_capacity_since_ &&
         now >= *no_capacity_since_ + policy_.no_capacity_grace;
}

std::array<bool, kRankCount> admission_queue::Backlogged() const {
  std::array<bool, kRankCount> backlogged{};
  for (std::size_t i = 0; i < kRankCount; ++i) {
    backlogged.at(i) = !queues_.at(i).empty();
  }
  return backlogged;
}

void admission_queue::Observe(steady_time now) {
  drain_.Observe(now, running_ > 0 && !HasCapacity(),
                 static_cast<double>(running_cost_));
}

std::size_t admission_queue::queued(rank queue_rank) const {
  return queues_.at(Index(queue_rank)).size();
}

cost_units admission_queue::queued_cost(rank queue_rank) const {
  return cost_units(queues_.at(Index(queue_rank)).cost());
}

std::size_t admission_queue::MemoryBytes() const {
  std::size_t bytes = sizeof(*this) + pool_.MemoryBytes();
  for (const fair_queue& queue : queues_) bytes += queue.MemoryBytes();
  return bytes;
}

}  // namespace marjoramsill
