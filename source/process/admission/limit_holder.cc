#include "process/admission/limit_holder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

// Two asks without a timeout between them are at least this far apart.
constexpr milliseconds kAskInterval(50);
constexpr milliseconds kReturnTime(1000);
// A share of which less than this part is used is worth a message.
constexpr double kReturnPart = 0.7;
// Recalled shares arrive within this time if they are not in use.
constexpr milliseconds kExpectedTime(300);
// Demand elsewhere may have ended.
constexpr milliseconds kContendedInterval(1000);
// A VM that reaches no candidate asks less often.
constexpr milliseconds kIsolatedInterval(1000);
constexpr double kDemandSeconds = 1;
constexpr double kRecentSeconds = 0.1;
// Wanted above the measured demand, so that it may vary without an exchange.
constexpr double kHeadroom = 1.25;
// Rates travel in single precision.
constexpr double kExact = 0.999;
// Demand below this part of a token per second counts as none.
constexpr double kNoDemand = 0.01;

double Seconds(std::chrono::microseconds time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

limit_holder::limit_holder(const limit_settings& settings, std::uint64_t life)
    : settings_(settings), sequence_(life << 32U) {}

bool limit_holder::SetLimit(const workspace_limit& limit) {
  if (started_ && limit.version < limit_.version) return false;
  if (limit.version > limit_.version) {
    // What was refused under the old limit may be possible now.
    contended_ = false;
    ask_again_ = ask_again_ || asked_;
  }
  limit_ = limit;
  return true;
}

void limit_holder::SetFixed(double tokens_per_second, std::uint32_t concurrent,
                            steady_time now) {
  fixed_tokens_ = tokens_per_second;
  fixed_concurrent_ = concurrent;
  if (started_) return;
  started_ = true;
  refilled_at_ = now;
  level_ = fixed_tokens_ * Seconds(settings_.burst);
}

void limit_holder::SetCandidates(std::vector<vm_id> candidates) {
  if (candidates == candidates_) return;
  candidates_ = std::move(candidates);
  candidate_ = 0;
}

limit_decision limit_holder::Offer(request_handle request, double cost,
                                   steady_time now) {
  Refill(now);
  demand_ += cost / kDemandSeconds;
  recent_demand_ += cost / kRecentSeconds;
  if (waiting_.empty() && Take(cost, now)) return limit_decision::kAccepted;
  if (!MayWait(now)) return limit_decision::kRefused;
  waiting_.push_back({request, cost, now + settings_.borrow_timeout});
  return limit_decision::kWaiting;
}

bool limit_holder::MayWait(steady_time now) const {
  if (waiting_.size() >= settings_.max_waiting_per_workspace) return false;
  if (IsHopeless(now)) return false;
  if (running_ >= ConcurrentShare(now) &&
      ConcurrentShare(now) >= limit_.concurrent) {
    return false;
  }
  return level_ > 0 || TokenShare(now) < limit_.tokens_per_second * kExact;
}

// A wait that no answer can end would only delay the refusal.
bool limit_holder::IsHopeless(steady_time now) const {
  return IsIsolated() || (contended_ && now < leased_until_);
}

void limit_holder::Finish(double cost, double used, steady_time now) {
  if (running_ > 0) --running_;
  Refill(now);
  level_ += cost - used;
}

bool limit_holder::Cancel(request_handle request) {
  return std::erase_if(waiting_, [&](const waiting_request& of) {
           return of.request == request;
         }) > 0;
}

void limit_holder::OnGrant(const limit_message& grant, steady_time now) {
  if (grant.sequence != sequence_) return;
  const steady_time until = asked_at_ + milliseconds(grant.duration_ms);
  if (now >= until) return;
  Refill(now);
  const bool lowered = grant.tokens_per_second < leased_tokens_ * kExact ||
                       grant.concurrent < leased_concurrent_;
  leased_tokens_ = grant.tokens_per_second;
  leased_concurrent_ = grant.concurrent;
  leased_until_ = until;
  // Later grants for the same ask repeat the tokens given at once.
  if (outstanding_) level_ += grant.burst_tokens;
  const bool answer = outstanding_;
  outstanding_ = false;
  unanswered_ = 0;
  const bool less = leased_tokens_ < asked_tokens_ * kExact ||
                    leased_concurrent_ < asked_concurrent_;
  if (answer) contended_ = less && grant.recalls == 0;
  if (answer) expecting_ = less && grant.recalls > 0;
  if (!less) {
    contended_ = false;
    expecting_ = false;
  }
  reported_concurrent_ = std::max(reported_concurrent_, grant.concurrent);
  // The allocator gives the rest to others once the lower share is confirmed.
  ask_again_ = ask_again_ || lowered;
}

void limit_holder::OnRecall(steady_time now) {
  ask_again_ = true;
  recalled_ = true;
  returning_until_ = now + kReturnTime;
}

void limit_holder::Update(const workspace_id& workspace, steady_time now,
                          limit_actions& actions) {
  Refill(now);
  CheckTimeout(now);
  while (!waiting_.empty()) {
    const waiting_request& first = waiting_.front();
    const bool accepted = Take(first.cost, now);
    if (!accepted && now < first.until && !IsHopeless(now)) break;
    actions.decided.push_back({.request = first.request, .accepted = accepted});
    waiting_.pop_front();
  }
  if (MustAsk(now)) Ask(workspace, now, actions.send);
}

bool limit_holder::MustAsk(steady_time now) const {
  if (outstanding_ || candidates_.empty()) return false;
  if (recalled_) return true;
  const auto interval = IsIsolated() ? kIsolatedInterval : kAskInterval;
  const bool grown = !waiting_.empty() && !IsIsolated() &&
                     WantedConcurrent() > asked_concurrent_;
  if (asked_ && !grown && now < asked_at_ + interval) return false;
  if (ask_again_) return true;
  if (now < returning_until_ && now < leased_until_ &&
      WantedTokens(now) < leased_tokens_ * kReturnPart) {
    return true;
  }
  // A share that merely ended would count as in use until the longest request
  // that it could have admitted has ended.
  if (!IsEngaged()) {
    return reported_concurrent_ > 0 && running_ <= fixed_concurrent_ &&
           now >= asked_at_ + settings_.lease / 2;
  }
  if (now >= leased_until_ || now >= asked_at_ + settings_.lease / 2) {
    return true;
  }
  if (contended_) return now >= asked_at_ + kContendedInterval;
  if (expecting_ && now < asked_at_ + kExpectedTime) {
    return WantedTokens(now) > asked_tokens_ * kHeadroom ||
           WantedConcurrent() > asked_concurrent_ * kHeadroom;
  }
  return !waiting_.empty() || WantedTokens(now) > leased_tokens_ * kHeadroom ||
         WantedConcurrent() > leased_concurrent_;
}

void limit_holder::Ask(const workspace_id& workspace, steady_time now,
                       std::vector<limit_send>& send) {
  recalled_ = false;
  asked_tokens_ = WantedTokens(now);
  asked_concurrent_ = WantedConcurrent();
  // The fixed share covers what still runs.
  const bool ends = !IsEngaged() && running_ <= fixed_concurrent_;
  if (ends) {
    asked_tokens_ = 0;
    asked_concurrent_ = 0;
  }
  const bool leased = now < leased_until_;
  leased_tokens_ = leased ? std::min(leased_tokens_, asked_tokens_) : 0;
  leased_concurrent_ =
      leased ? std::min(leased_concurrent_, asked_concurrent_) : 0;
  limit_message ask;
  ask.workspace = workspace;
  ask.sequence = ++sequence_;
  ask.limit = limit_;
  ask.tokens_per_second = asked_tokens_;
  ask.concurrent = asked_concurrent_;
  ask.held_tokens_per_second = leased_tokens_;
  ask.held_concurrent = ends ? 0 : std::max(running_, leased_concurrent_);
  reported_concurrent_ = ask.held_concurrent;
  // A full bucket at the wanted rate: a share that moves here takes along the
  // burst that belongs to it.
  double wanted = asked_tokens_ * Seconds(settings_.burst);
  for (const waiting_request& of : waiting_) wanted += of.cost;
  if (!ends) ask.burst_tokens = std::max(0.0, wanted - level_);
  const double size = TokenShare(now) * Seconds(settings_.burst);
  ask.returned_tokens = std::max(0.0, level_ - size);
  level_ = std::min(level_, size);
  send.push_back({candidates_[candidate_], std::move(ask)});
  asked_at_ = now;
  asked_ = true;
  outstanding_ = true;
  ask_again_ = false;
}

void limit_holder::CheckTimeout(steady_time now) {
  if (!outstanding_ || now < asked_at_ + settings_.ask_timeout) return;
  outstanding_ = false;
  ++unanswered_;
  candidate_ = (candidate_ + 1) % candidates_.size();
}

void limit_holder::Refill(steady_time now) {
  const double passed = Seconds(now - refilled_at_);
  if (passed <= 0) return;
  refilled_at_ = now;
  demand_ *= std::exp(-passed / kDemandSeconds);
  recent_demand_ *= std::exp(-passed / kRecentSeconds);
  if (now < returning_until_) demand_ = std::min(demand_, recent_demand_);
  if (demand_ < kNoDemand) demand_ = 0;
  const double share = TokenShare(now);
  level_ = std::min(level_ + share * passed, share * Seconds(settings_.burst));
}

bool limit_holder::Take(double cost, steady_time now) {
  // The last request may overdraw the bucket: a cost above the bucket's size
  // would else never be accepted.
  if (level_ <= 0 || running_ >= ConcurrentShare(now)) return false;
  level_ -= cost;
  ++running_;
  return true;
}

bool limit_holder::IsEngaged() const {
  if (!waiting_.empty()) return true;
  if (running_ > settings_.engage_fraction * fixed_concurrent_) return true;
  // The level of the bucket tells a lasting demand above the fixed share from
  // the variation of a demand below it.
  const double size = fixed_tokens_ * Seconds(settings_.burst);
  return level_ < (1 - settings_.engage_fraction) * size ||
         (leased_tokens_ > fixed_tokens_ && demand_ > fixed_tokens_);
}

bool limit_holder::quiet(steady_time now) const {
  return waiting_.empty() && !outstanding_ && !IsEngaged() &&
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

double limit_holder::WantedTokens(steady_time now) const {
  // For a time after a recall only what is in use now counts: another VM waits
  // for the rest.
  const bool returning = now < returning_until_;
  double wanted = kHeadroom * (returning ? recent_demand_
                                         : std::max(demand_, recent_demand_));
  // The fixed share covers this much without a lease.
  if (returning && wanted <= fixed_tokens_) return 0;
  // A debt is paid off within about a second.
  if (!waiting_.empty()) wanted += std::max(0.0, -level_) / kDemandSeconds;
  return std::min(wanted, limit_.tokens_per_second);
}

std::uint32_t limit_holder::WantedConcurrent() const {
  const auto used = static_cast<double>(running_ + waiting_.size());
  const double wanted = used > 0 ? used * kHeadroom + 1 : 0;
  return static_cast<std::uint32_t>(
      std::min<double>(std::ceil(wanted), limit_.concurrent));
}

}  // namespace marjoramsill
