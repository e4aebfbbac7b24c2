#include "process/admission/limit_allocator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLeaseRetryInterval(300);
// Minimum interval between two recalls of one holder.
constexpr milliseconds kRecallInterval(1000);
constexpr milliseconds kMaxDemandAge(2000);
// A recalled holder returns its share within this time if its demand has ended.
constexpr milliseconds kRecallResponseTime(300);
// Bounds the number of messages caused by one share request.
constexpr std::uint32_t kMaxRecalls = 4;
// Smaller changes of a share do not justify a message.
constexpr double kChangeTolerance = 1.05;

double Seconds(std::chrono::microseconds time) {
  return std::chrono::duration<double>(time).count();
}

std::uint32_t Milliseconds(std::chrono::microseconds time) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<milliseconds>(time).count());
}

/// The level at which the sum of min(demand, level) equals `limit`, or the
/// largest demand if the sum of the demands is within the limit.
double MaxMinLevel(std::vector<double> demands, double limit) {
  std::sort(demands.begin(), demands.end());
  double remaining = limit;
  auto count = static_cast<double>(demands.size());
  for (const double demand : demands) {
    if (demand * count >= remaining) return remaining / count;
    remaining -= demand;
    --count;
  }
  return demands.empty() ? limit : demands.back();
}

}  // namespace

limit_allocator::limit_allocator(const limit_settings& settings,
                                 workspace_id workspace,
                                 std::uint64_t incarnation)
    : settings_(settings),
      workspace_(std::move(workspace)),
      first_sequence_(incarnation << 32U),
      sequence_(first_sequence_) {}

void limit_allocator::SetLimit(const workspace_limit& limit) {
  if (limit.version >= limit_.version) limit_ = limit;
}

void limit_allocator::SetArbiters(std::vector<vm_id> arbiters) {
  arbiters_ = std::move(arbiters);
}

void limit_allocator::OnShareRequest(
    const vm_id& from, const limit_message& request, steady_time now,
    std::vector<outgoing_limit_message>& send) {
  SetLimit(request.limit);
  Accrue(now);
  Expire(now);
  holder& entry = FindOrAddHolder(from);
  if (request.sequence <= entry.sequence) return;
  entry.sequence = request.sequence;
  entry.requested_at = now;
  entry.granted = false;
  entry.requested_tokens = request.tokens_per_second;
  entry.requested_concurrent = request.concurrent;
  entry.requested_burst = request.burst_tokens;
  unused_tokens_ += request.returned_tokens;
  CapUnused();
  entry.held_tokens =
      std::min(entry.held_tokens, request.held_tokens_per_second);
  entry.held_concurrent = request.held_concurrent;
  entry.expires_at =
      std::max(entry.expires_at, now + settings_.request_timeout);
  if (!has_lease(now)) return RequestLease(now, send);
  const fair_level level = FairLevel(now);
  const std::uint32_t recalls =
      IsConstrained(entry, now) ? Recall(entry, level, now, send) : 0;
  Grant(entry, level, true, recalls, now, send);
  GrantPending(now, send);
}

void limit_allocator::OnLeaseGrant(const vm_id& from,
                                   const limit_message& grant, steady_time now,
                                   std::vector<outgoing_limit_message>& send) {
  if (grant.sequence != sequence_ || grant.duration_ms == 0) return;
  for (const vote& earlier_vote : votes_) {
    if (earlier_vote.from == from) return;
  }
  lease_duration_ = std::min<std::chrono::microseconds>(
      lease_duration_, milliseconds(grant.duration_ms));
  votes_.push_back({from, now + milliseconds(grant.concurrent)});
  const std::size_t majority = arbiters_.size() / 2 + 1;
  if (votes_.size() < majority) return;
  if (votes_.size() == majority) {
    is_renewal_ = has_lease(now);
    previous_safe_at_ = concurrency_safe_at_;
    Accrue(now);
    // No share has been held for a long time, so the full burst is unused.
    const bool first = lease_end_ == steady_time();
    if (first && votes_.back().safe_at <= now &&
        votes_.front().safe_at <= now) {
      unused_tokens_ = limit_.tokens_per_second * Seconds(settings_.burst);
    }
    lease_end_ = lease_requested_at_ + lease_duration_;
  }
  if (!is_renewal_) {
    // Every majority knows the earlier leases, so the majority with the
    // earliest safe times determines the result.
    std::sort(votes_.begin(), votes_.end(),
              [](const vote& left, const vote& right) {
                return left.safe_at < right.safe_at;
              });
    concurrency_safe_at_ =
        std::max(previous_safe_at_, votes_[majority - 1].safe_at);
  }
  Expire(now);
  GrantPending(now, send);
}

void limit_allocator::RequestLease(steady_time now,
                                   std::vector<outgoing_limit_message>& send) {
  if (sequence_ > first_sequence_ &&
      now < lease_requested_at_ + kLeaseRetryInterval) {
    return;
  }
  lease_requested_at_ = now;
  votes_.clear();
  lease_duration_ = settings_.allocator_lease;
  ++sequence_;
  for (const vm_id& arbiter : arbiters_) {
    send.push_back(
        {arbiter, Message(limit_message_kind::kLeaseRequest, sequence_)});
  }
}

void limit_allocator::Tick(steady_time now,
                           std::vector<outgoing_limit_message>& send) {
  Accrue(now);
  Expire(now);
  if (holders_.empty()) return;
  if (now + settings_.allocator_lease / 2 > lease_end_) RequestLease(now, send);
  if (has_lease(now)) GrantPending(now, send);
}

bool limit_allocator::idle(steady_time now) const {
  // After the burst time this allocator has accumulated the full burst, with
  // which a new allocator starts.
  return holders_.empty() && now >= lease_end_ + settings_.burst &&
         now >= concurrency_safe_at_;
}

limit_allocator::holder& limit_allocator::FindOrAddHolder(const vm_id& vm) {
  for (holder& entry : holders_) {
    if (entry.vm == vm) return entry;
  }
  holders_.emplace_back().vm = vm;
  return holders_.back();
}

void limit_allocator::Accrue(steady_time now) {
  const double elapsed = Seconds(now - accrued_at_);
  accrued_at_ = now;
  if (!has_lease(now)) return;
  unused_tokens_ += UnallocatedRate() * elapsed;
  CapUnused();
}

double limit_allocator::UnallocatedRate() const {
  double rate = limit_.tokens_per_second;
  for (const holder& entry : holders_) rate -= entry.held_tokens;
  return std::max(0.0, rate);
}

// The burst of a held share is in the holder's bucket. If the full burst were
// also kept here, the sum of all buckets would exceed twice the burst of the
// limit.
void limit_allocator::CapUnused() {
  unused_tokens_ =
      std::min(unused_tokens_, UnallocatedRate() * Seconds(settings_.burst));
}

void limit_allocator::Expire(steady_time now) {
  std::erase_if(holders_, [&](holder& entry) {
    if (now < entry.expires_at) return false;
    entry.held_tokens = 0;
    entry.requested_tokens = 0;
    entry.requested_concurrent = 0;
    // Requests accepted just before the lease expired may still be running.
    return entry.held_concurrent == 0 ||
           now >= entry.expires_at + settings_.max_request_duration;
  });
}

limit_allocator::fair_level limit_allocator::FairLevel(steady_time now) const {
  std::vector<double> tokens;
  std::vector<double> concurrent;
  double expired_concurrent = 0;
  for (const holder& entry : holders_) {
    if (now < entry.expires_at) {
      tokens.push_back(entry.requested_tokens);
      concurrent.push_back(entry.requested_concurrent);
    } else {
      expired_concurrent += entry.held_concurrent;
    }
  }
  const double remaining =
      std::max(0.0, limit_.concurrent - expired_concurrent);
  return {
      .tokens = MaxMinLevel(std::move(tokens), limit_.tokens_per_second),
      .concurrent = std::ceil(MaxMinLevel(std::move(concurrent), remaining))};
}

limit_allocator::fair_level limit_allocator::AvailableTo(
    const holder& requester, steady_time now) const {
  fair_level available{
      .tokens = limit_.tokens_per_second,
      .concurrent = now < concurrency_safe_at_ ? 0.0 : limit_.concurrent};
  for (const holder& entry : holders_) {
    if (&entry == &requester) continue;
    available.tokens -= entry.held_tokens;
    available.concurrent -= entry.held_concurrent;
  }
  return {.tokens = std::max(0.0, available.tokens),
          .concurrent = std::max(0.0, available.concurrent)};
}

bool limit_allocator::IsConstrained(const holder& entry,
                                    steady_time now) const {
  const fair_level available = AvailableTo(entry, now);
  return available.tokens < entry.requested_tokens ||
         available.concurrent < entry.requested_concurrent;
}

void limit_allocator::Grant(holder& recipient, const fair_level& level,
                            bool is_response, std::uint32_t recalls,
                            steady_time now,
                            std::vector<outgoing_limit_message>& send) {
  const fair_level available = AvailableTo(recipient, now);
  const double tokens =
      std::min({available.tokens, level.tokens, recipient.requested_tokens});
  const auto slots = static_cast<std::uint32_t>(
      std::min<double>({available.concurrent, level.concurrent,
                        static_cast<double>(recipient.requested_concurrent)}));
  if (!is_response && tokens <= recipient.granted_tokens * kChangeTolerance &&
      slots <= recipient.granted_concurrent) {
    return;
  }
  // Later grants for the same request only increase the share, because the
  // holder does not check their order.
  recipient.granted_tokens =
      is_response ? tokens : std::max(tokens, recipient.granted_tokens);
  recipient.granted_concurrent =
      is_response ? slots : std::max(slots, recipient.granted_concurrent);
  recipient.held_tokens =
      std::max(recipient.held_tokens, recipient.granted_tokens);
  recipient.held_concurrent =
      std::max(recipient.held_concurrent, recipient.granted_concurrent);
  recipient.expires_at =
      std::min(recipient.requested_at + settings_.share_lease, lease_end_);
  limit_message grant =
      Message(limit_message_kind::kShareGrant, recipient.sequence);
  grant.tokens_per_second = recipient.granted_tokens;
  grant.concurrent = recipient.granted_concurrent;
  if (!recipient.granted) {
    grant.burst_tokens = std::min(recipient.requested_burst, unused_tokens_);
    unused_tokens_ -= grant.burst_tokens;
  }
  recipient.granted = true;
  grant.recalls = recalls;
  grant.duration_ms =
      Milliseconds(recipient.expires_at - recipient.requested_at);
  send.push_back({recipient.vm, std::move(grant)});
  CapUnused();
}

void limit_allocator::GrantPending(steady_time now,
                                   std::vector<outgoing_limit_message>& send) {
  const fair_level level = FairLevel(now);
  for (holder& peer : holders_) {
    if (now >= peer.expires_at) continue;
    const bool waits = peer.granted_tokens < peer.requested_tokens ||
                       peer.granted_concurrent < peer.requested_concurrent;
    if (!peer.granted || waits) Grant(peer, level, !peer.granted, 0, now, send);
  }
}

std::uint32_t limit_allocator::Recall(
    const holder& requester, const fair_level& level, steady_time now,
    std::vector<outgoing_limit_message>& send) {
  std::uint32_t recalls = 0;
  for (holder& entry : holders_) {
    if (recalls == kMaxRecalls) break;
    if (&entry == &requester || now >= entry.expires_at) continue;
    // The reported demand of a holder at or below the fair level may be stale.
    const bool is_fair = entry.held_tokens <= level.tokens * kChangeTolerance &&
                         entry.held_concurrent <= level.concurrent;
    const bool holds_nothing =
        entry.held_tokens <= 0 && entry.held_concurrent == 0;
    if (holds_nothing) continue;
    const bool recalled = now < entry.recalled_at + kRecallResponseTime;
    if (recalled) ++recalls;
    if (is_fair && now < entry.requested_at + kMaxDemandAge) continue;
    if (now < entry.recalled_at + kRecallInterval) continue;
    entry.recalled_at = now;
    ++recalls;
    send.push_back(
        {entry.vm, Message(limit_message_kind::kShareRecall, entry.sequence)});
  }
  return recalls;
}

limit_message limit_allocator::Message(limit_message_kind kind,
                                       std::uint64_t sequence) const {
  limit_message message;
  message.kind = kind;
  message.workspace = workspace_;
  message.sequence = sequence;
  message.limit = limit_;
  return message;
}

}  // namespace marjoramsill
