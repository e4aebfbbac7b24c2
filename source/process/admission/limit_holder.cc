#include "process/admission/limit_holder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

// Minimum interval between two share requests, unless the first one timed out.
constexpr milliseconds kRequestInterval(50);
constexpr milliseconds kReturnPeriod(1000);
// A share is returned if less than this fraction of it is used.
constexpr double kReturnThreshold = 0.7;
// Recalled shares become available within this time if they are not in use.
constexpr milliseconds kRecallWait(300);
// Interval of retries while the limit is reached: demand on other VMs may have
// ended.
constexpr milliseconds kLimitReachedInterval(1000);
// Interval of requests while no candidate allocator is reachable.
constexpr milliseconds kIsolatedInterval(1000);
constexpr double kDemandSeconds = 1;
constexpr double kRecentSeconds = 0.1;
// Factor by which requests exceed the measured demand, so that the demand can
// vary without a message exchange.
constexpr double kHeadroom = 1.25;
// Allows for the rounding of rates, which are sent in single precision.
constexpr double kRateTolerance = 0.999;
// A demand below this many tokens per second counts as 0.
constexpr double kMinDemand = 0.01;

double Seconds(std::chrono::microseconds time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

limit_holder::limit_holder(const limit_settings& settings,
                           std::uint64_t incarnation)
    : settings_(settings), sequence_(incarnation << 32U) {}

bool limit_holder::SetLimit(const workspace_limit& limit) {
  if (started_ && limit.version < limit_.version) return false;
  if (limit.version > limit_.version) {
    // Demand that the old limit refused may fit within the new one.
    limit_reached_ = false;
    request_again_ = request_again_ || has_requested_;
  }
  limit_ = limit;
  return true;
}

void limit_holder::SetFixedShare(double tokens_per_second,
                                 std::uint32_t concurrent, steady_time now) {
  fixed_tokens_ = tokens_per_second;
  fixed_concurrent_ = concurrent;
  if (started_) return;
  started_ = true;
  refilled_at_ = now;
  bucket_ = fixed_tokens_ * Seconds(settings_.burst);
}

void limit_holder::SetCandidates(std::vector<vm_id> candidates) {
  if (candidates == candidates_) return;
  candidates_ = std::move(candidates);
  current_candidate_ = 0;
}

limit_decision limit_holder::Offer(request_handle request, double cost,
                                   steady_time now) {
  Refill(now);
  demand_ += cost / kDemandSeconds;
  recent_demand_ += cost / kRecentSeconds;
  if (waiting_.empty() && TryTake(cost, now)) return limit_decision::kAccepted;
  if (!MayWait(now)) return limit_decision::kRefused;
  waiting_.push_back({request, cost, now + settings_.share_wait_timeout});
  return limit_decision::kWaiting;
}

bool limit_holder::MayWait(steady_time now) const {
  if (waiting_.size() >= settings_.max_waiting_per_workspace) return false;
  if (IsWaitFutile(now)) return false;
  if (running_ >= ConcurrentShare(now) &&
      ConcurrentShare(now) >= limit_.concurrent) {
    return false;
  }
  return bucket_ > 0 ||
         TokenShare(now) < limit_.tokens_per_second * kRateTolerance;
}

// True if no response can lead to acceptance, so that waiting would only delay
// the refusal.
bool limit_holder::IsWaitFutile(steady_time now) const {
  return IsIsolated() || (limit_reached_ && now < leased_until_);
}

void limit_holder::Finish(double cost, double used, steady_time now) {
  if (running_ > 0) --running_;
  Refill(now);
  bucket_ += cost - used;
}

bool limit_holder::Cancel(request_handle request) {
  return std::erase_if(waiting_, [&](const waiting_request& waiting) {
           return waiting.request == request;
         }) > 0;
}

void limit_holder::OnShareGrant(const limit_message& grant, steady_time now) {
  if (grant.sequence != sequence_) return;
  const steady_time until = requested_at_ + milliseconds(grant.duration_ms);
  if (now >= until) return;
  Refill(now);
  const bool lowered =
      grant.tokens_per_second < leased_tokens_ * kRateTolerance ||
      grant.concurrent < leased_concurrent_;
  leased_tokens_ = grant.tokens_per_second;
  leased_concurrent_ = grant.concurrent;
  leased_until_ = until;
  // Later grants for the same request do not add the immediate tokens again.
  if (outstanding_) bucket_ += grant.burst_tokens;
  const bool is_response = outstanding_;
  outstanding_ = false;
  timed_out_requests_ = 0;
  const bool insufficient =
      leased_tokens_ < requested_tokens_ * kRateTolerance ||
      leased_concurrent_ < requested_concurrent_;
  if (is_response) limit_reached_ = insufficient && grant.recalls == 0;
  if (is_response) awaiting_recalls_ = insufficient && grant.recalls > 0;
  if (!insufficient) {
    limit_reached_ = false;
    awaiting_recalls_ = false;
  }
  reported_concurrent_ = std::max(reported_concurrent_, grant.concurrent);
  // The allocator grants the difference to other VMs once this VM has confirmed
  // the reduced share.
  request_again_ = request_again_ || lowered;
}

void limit_holder::OnRecall(steady_time now) {
  request_again_ = true;
  recalled_ = true;
  returning_until_ = now + kReturnPeriod;
}

void limit_holder::Update(const workspace_id& workspace, steady_time now,
                          limit_actions& actions) {
  Refill(now);
  CheckTimeout(now);
  while (!waiting_.empty()) {
    const waiting_request& first = waiting_.front();
    const bool accepted = TryTake(first.cost, now);
    if (!accepted && now < first.deadline && !IsWaitFutile(now)) break;
    actions.decided.push_back({.request = first.request, .accepted = accepted});
    waiting_.pop_front();
  }
  if (MustRequest(now)) RequestShare(workspace, now, actions.send);
}

bool limit_holder::MustRequest(steady_time now) const {
  if (outstanding_ || candidates_.empty()) return false;
  if (recalled_) return true;
  const auto interval = IsIsolated() ? kIsolatedInterval : kRequestInterval;
  const bool grown = !waiting_.empty() && !IsIsolated() &&
                     RequiredConcurrent() > requested_concurrent_;
  if (has_requested_ && !grown && now < requested_at_ + interval) return false;
  if (request_again_) return true;
  if (now < returning_until_ && now < leased_until_ &&
      RequiredTokens(now) < leased_tokens_ * kReturnThreshold) {
    return true;
  }
  // A share that expires without being returned would count as in use until the
  // longest request that it could have admitted must have ended.
  if (!NeedsLease()) {
    return reported_concurrent_ > 0 && running_ <= fixed_concurrent_ &&
           now >= requested_at_ + settings_.share_lease / 2;
  }
  if (now >= leased_until_ ||
      now >= requested_at_ + settings_.share_lease / 2) {
    return true;
  }
  if (limit_reached_) return now >= requested_at_ + kLimitReachedInterval;
  if (awaiting_recalls_ && now < requested_at_ + kRecallWait) {
    return RequiredTokens(now) > requested_tokens_ * kHeadroom ||
           RequiredConcurrent() > requested_concurrent_ * kHeadroom;
  }
  return !waiting_.empty() ||
         RequiredTokens(now) > leased_tokens_ * kHeadroom ||
         RequiredConcurrent() > leased_concurrent_;
}

void limit_holder::RequestShare(const workspace_id& workspace, steady_time now,
                                std::vector<outgoing_limit_message>& send) {
  recalled_ = false;
  requested_tokens_ = RequiredTokens(now);
  requested_concurrent_ = RequiredConcurrent();
  // The lease can be returned, because the fixed share covers the requests that
  // are still running.
  const bool releases_share = !NeedsLease() && running_ <= fixed_concurrent_;
  if (releases_share) {
    requested_tokens_ = 0;
    requested_concurrent_ = 0;
  }
  const bool leased = now < leased_until_;
  leased_tokens_ = leased ? std::min(leased_tokens_, requested_tokens_) : 0;
  leased_concurrent_ =
      leased ? std::min(leased_concurrent_, requested_concurrent_) : 0;
  limit_message request;
  request.workspace = workspace;
  request.sequence = ++sequence_;
  request.limit = limit_;
  request.tokens_per_second = requested_tokens_;
  request.concurrent = requested_concurrent_;
  request.held_tokens_per_second = leased_tokens_;
  request.held_concurrent =
      releases_share ? 0 : std::max(running_, leased_concurrent_);
  reported_concurrent_ = request.held_concurrent;
  // Requests a full bucket at the requested rate, because a share that moves
  // here includes its burst.
  double required = requested_tokens_ * Seconds(settings_.burst);
  for (const waiting_request& waiting : waiting_) required += waiting.cost;
  if (!releases_share) request.burst_tokens = std::max(0.0, required - bucket_);
  const double size = TokenShare(now) * Seconds(settings_.burst);
  request.returned_tokens = std::max(0.0, bucket_ - size);
  bucket_ = std::min(bucket_, size);
  send.push_back({candidates_[current_candidate_], std::move(request)});
  requested_at_ = now;
  has_requested_ = true;
  outstanding_ = true;
  request_again_ = false;
}

void limit_holder::CheckTimeout(steady_time now) {
  if (!outstanding_ || now < requested_at_ + settings_.request_timeout) return;
  outstanding_ = false;
  ++timed_out_requests_;
  current_candidate_ = (current_candidate_ + 1) % candidates_.size();
}

void limit_holder::Refill(steady_time now) {
  const double elapsed = Seconds(now - refilled_at_);
  if (elapsed <= 0) return;
  refilled_at_ = now;
  demand_ *= std::exp(-elapsed / kDemandSeconds);
  recent_demand_ *= std::exp(-elapsed / kRecentSeconds);
  if (now < returning_until_) demand_ = std::min(demand_, recent_demand_);
  if (demand_ < kMinDemand) demand_ = 0;
  const double share = TokenShare(now);
  bucket_ =
      std::min(bucket_ + share * elapsed, share * Seconds(settings_.burst));
}

bool limit_holder::TryTake(double cost, steady_time now) {
  // A request may overdraw the bucket; otherwise a request whose cost exceeds
  // the bucket's size would never be accepted.
  if (bucket_ <= 0 || running_ >= ConcurrentShare(now)) return false;
  bucket_ -= cost;
  ++running_;
  return true;
}

bool limit_holder::NeedsLease() const {
  if (!waiting_.empty()) return true;
  if (running_ > settings_.lease_threshold * fixed_concurrent_) return true;
  // The bucket level distinguishes sustained demand above the fixed share from
  // short peaks of a demand below it.
  const double size = fixed_tokens_ * Seconds(settings_.burst);
  return bucket_ < (1 - settings_.lease_threshold) * size ||
         (leased_tokens_ > fixed_tokens_ && demand_ > fixed_tokens_);
}

bool limit_holder::idle(steady_time now) const {
  return waiting_.empty() && !outstanding_ && !NeedsLease() &&
         now >= leased_until_ && reported_concurrent_ == 0;
}

std::size_t limit_holder::MemoryBytes() const {
  std::size_t bytes = candidates_.capacity() * sizeof(vm_id) +
                      waiting_.size() * sizeof(waiting_request);
  for (const vm_id& vm : candidates_) bytes += vm.value().capacity();
  return bytes;
}

double limit_holder::TokenShare(steady_time now) const {
  return now < leased_until_ ? std::max(leased_tokens_, fixed_tokens_)
                             : fixed_tokens_;
}

std::uint32_t limit_holder::ConcurrentShare(steady_time now) const {
  return now < leased_until_ ? std::max(leased_concurrent_, fixed_concurrent_)
                             : fixed_concurrent_;
}

double limit_holder::RequiredTokens(steady_time now) const {
  // For some time after a recall only the recent demand counts, because another
  // VM is waiting for the rest.
  const bool returning = now < returning_until_;
  double required = kHeadroom * (returning ? recent_demand_
                                           : std::max(demand_, recent_demand_));
  // The fixed share covers this demand without a lease.
  if (returning && required <= fixed_tokens_) return 0;
  // Adds the rate that pays off an overdrawn bucket within about a second.
  if (!waiting_.empty()) required += std::max(0.0, -bucket_) / kDemandSeconds;
  return std::min(required, limit_.tokens_per_second);
}

std::uint32_t limit_holder::RequiredConcurrent() const {
  const auto used = static_cast<double>(running_ + waiting_.size());
  const double required = used > 0 ? used * kHeadroom + 1 : 0;
  return static_cast<std::uint32_t>(
      std::min<double>(std::ceil(required), limit_.concurrent));
}

}  // namespace marjoramsill
