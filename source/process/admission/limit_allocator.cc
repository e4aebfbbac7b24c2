#include "process/admission/limit_allocator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLicenceRetry(300);
// Two recalls of one holder are at least this far apart.
constexpr milliseconds kRecallInterval(1000);
constexpr milliseconds kOutdated(2000);
// A recalled holder gives up its share within this time if its demand ended.
constexpr milliseconds kRecallTime(300);
// Bounds the messages that one ask causes.
constexpr std::uint32_t kMaxRecalls = 4;
// Smaller differences are not worth a message.
constexpr double kSlack = 1.05;

double Seconds(std::chrono::microseconds time) {
  return std::chrono::duration<double>(time).count();
}

std::uint32_t Milliseconds(std::chrono::microseconds time) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<milliseconds>(time).count());
}

/// The level at which the sum of min(want, level) is `limit`; the greatest
/// want when all fit.
double MaxMinLevel(std::vector<double> wants, double limit) {
  std::sort(wants.begin(), wants.end());
  double left = limit;
  auto count = static_cast<double>(wants.size());
  for (const double want : wants) {
    if (want * count >= left) return left / count;
    left -= want;
    --count;
  }
  return wants.empty() ? limit : wants.back();
}

}  // namespace

limit_allocator::limit_allocator(const limit_settings& settings,
                                 workspace_id workspace, std::uint64_t life)
    : settings_(settings),
      workspace_(std::move(workspace)),
      first_sequence_(life << 32U),
      sequence_(first_sequence_) {}

void limit_allocator::SetLimit(const workspace_limit& limit) {
  if (limit.version >= limit_.version) limit_ = limit;
}

void limit_allocator::SetArbiters(std::vector<vm_id> arbiters) {
  arbiters_ = std::move(arbiters);
}

void limit_allocator::OnAsk(const vm_id& from, const limit_message& ask,
                            steady_time now, std::vector<limit_send>& send) {
  SetLimit(ask.limit);
  Accrue(now);
  Expire(now);
  holder& of = Find(from);
  if (ask.sequence <= of.sequence) return;
  of.sequence = ask.sequence;
  of.asked_at = now;
  of.answered = false;
  of.wants_tokens = ask.tokens_per_second;
  of.wants_concurrent = ask.concurrent;
  of.wants_burst = ask.burst_tokens;
  unused_tokens_ += ask.returned_tokens;
  CapUnused();
  of.held_tokens = std::min(of.held_tokens, ask.held_tokens_per_second);
  of.held_concurrent = ask.held_concurrent;
  of.until = std::max(of.until, now + settings_.ask_timeout);
  if (!licensed(now)) return AskLicence(now, send);
  const fair_level level = Level(now);
  const std::uint32_t recalls =
      IsShort(of, now) ? Recall(of, level, now, send) : 0;
  Grant(of, level, true, recalls, now, send);
  GrantWaiting(now, send);
}

void limit_allocator::OnLicence(const vm_id& from, const limit_message& licence,
                                steady_time now,
                                std::vector<limit_send>& send) {
  if (licence.sequence != sequence_ || licence.duration_ms == 0) return;
  for (const vote& of : votes_) {
    if (of.from == from) return;
  }
  licence_duration_ = std::min<std::chrono::microseconds>(
      licence_duration_, milliseconds(licence.duration_ms));
  votes_.push_back({from, now + milliseconds(licence.concurrent)});
  const std::size_t majority = arbiters_.size() / 2 + 1;
  if (votes_.size() < majority) return;
  if (votes_.size() == majority) {
    is_renewal_ = licensed(now);
    safe_before_ = concurrency_from_;
    Accrue(now);
    // Nobody held a part for long, so the whole burst is unused.
    const bool first = licensed_until_ == steady_time();
    if (first && votes_.back().safe_from <= now &&
        votes_.front().safe_from <= now) {
      unused_tokens_ = limit_.tokens_per_second * Seconds(settings_.burst);
    }
    licensed_until_ = licence_asked_at_ + licence_duration_;
  }
  if (!is_renewal_) {
    // Any majority knows the earlier licences, so the best one decides.
    std::sort(votes_.begin(), votes_.end(),
              [](const vote& left, const vote& right) {
                return left.safe_from < right.safe_from;
              });
    concurrency_from_ = std::max(safe_before_, votes_[majority - 1].safe_from);
  }
  Expire(now);
  GrantWaiting(now, send);
}

void limit_allocator::AskLicence(steady_time now,
                                 std::vector<limit_send>& send) {
  if (sequence_ > first_sequence_ && now < licence_asked_at_ + kLicenceRetry) {
    return;
  }
  licence_asked_at_ = now;
  votes_.clear();
  licence_duration_ = settings_.licence;
  ++sequence_;
  for (const vm_id& arbiter : arbiters_) {
    send.push_back(
        {arbiter, Message(limit_message_kind::kLicenceAsk, sequence_)});
  }
}

void limit_allocator::Tick(steady_time now, std::vector<limit_send>& send) {
  Accrue(now);
  Expire(now);
  if (holders_.empty()) return;
  if (now + settings_.licence / 2 > licensed_until_) AskLicence(now, send);
  if (licensed(now)) GrantWaiting(now, send);
}

bool limit_allocator::idle(steady_time now) const {
  // After the burst time a new allocator's full burst is what this one has.
  return holders_.empty() && now >= licensed_until_ + settings_.burst &&
         now >= concurrency_from_;
}

limit_allocator::holder& limit_allocator::Find(const vm_id& vm) {
  for (holder& of : holders_) {
    if (of.vm == vm) return of;
  }
  holders_.emplace_back().vm = vm;
  return holders_.back();
}

void limit_allocator::Accrue(steady_time now) {
  const double passed = Seconds(now - accrued_at_);
  accrued_at_ = now;
  if (!licensed(now)) return;
  unused_tokens_ += UnheldRate() * passed;
  CapUnused();
}

double limit_allocator::UnheldRate() const {
  double rate = limit_.tokens_per_second;
  for (const holder& of : holders_) rate -= of.held_tokens;
  return std::max(0.0, rate);
}

// The burst of a held part is in the holder's bucket: with the whole burst here
// the sum of all buckets would exceed twice the limit's.
void limit_allocator::CapUnused() {
  unused_tokens_ =
      std::min(unused_tokens_, UnheldRate() * Seconds(settings_.burst));
}

void limit_allocator::Expire(steady_time now) {
  std::erase_if(holders_, [&](holder& of) {
    if (now < of.until) return false;
    of.held_tokens = 0;
    of.wants_tokens = 0;
    of.wants_concurrent = 0;
    // Requests admitted at the end of the share may still run.
    return of.held_concurrent == 0 ||
           now >= of.until + settings_.longest_request;
  });
}

limit_allocator::fair_level limit_allocator::Level(steady_time now) const {
  std::vector<double> tokens;
  std::vector<double> concurrent;
  double unreachable = 0;
  for (const holder& of : holders_) {
    if (now < of.until) {
      tokens.push_back(of.wants_tokens);
      concurrent.push_back(of.wants_concurrent);
    } else {
      unreachable += of.held_concurrent;
    }
  }
  const double left = std::max(0.0, limit_.concurrent - unreachable);
  return {.tokens = MaxMinLevel(std::move(tokens), limit_.tokens_per_second),
          .concurrent = std::ceil(MaxMinLevel(std::move(concurrent), left))};
}

limit_allocator::fair_level limit_allocator::Free(const holder& without,
                                                  steady_time now) const {
  fair_level free{
      .tokens = limit_.tokens_per_second,
      .concurrent = now < concurrency_from_ ? 0.0 : limit_.concurrent};
  for (const holder& of : holders_) {
    if (&of == &without) continue;
    free.tokens -= of.held_tokens;
    free.concurrent -= of.held_concurrent;
  }
  return {.tokens = std::max(0.0, free.tokens),
          .concurrent = std::max(0.0, free.concurrent)};
}

bool limit_allocator::IsShort(const holder& of, steady_time now) const {
  const fair_level free = Free(of, now);
  return free.tokens < of.wants_tokens || free.concurrent < of.wants_concurrent;
}

void limit_allocator::Grant(holder& to, const fair_level& level, bool answer,
                            std::uint32_t recalls, steady_time now,
                            std::vector<limit_send>& send) {
  const fair_level free = Free(to, now);
  const double give = std::min({free.tokens, level.tokens, to.wants_tokens});
  const auto slots = static_cast<std::uint32_t>(
      std::min<double>({free.concurrent, level.concurrent,
                        static_cast<double>(to.wants_concurrent)}));
  if (!answer && give <= to.given_tokens * kSlack &&
      slots <= to.given_concurrent) {
    return;
  }
  // Later grants for the same ask only add: the holder ignores their order.
  to.given_tokens = answer ? give : std::max(give, to.given_tokens);
  to.given_concurrent = answer ? slots : std::max(slots, to.given_concurrent);
  to.held_tokens = std::max(to.held_tokens, to.given_tokens);
  to.held_concurrent = std::max(to.held_concurrent, to.given_concurrent);
  to.until = std::min(to.asked_at + settings_.lease, licensed_until_);
  limit_message grant = Message(limit_message_kind::kGrant, to.sequence);
  grant.tokens_per_second = to.given_tokens;
  grant.concurrent = to.given_concurrent;
  if (!to.answered) {
    grant.burst_tokens = std::min(to.wants_burst, unused_tokens_);
    unused_tokens_ -= grant.burst_tokens;
  }
  to.answered = true;
  grant.recalls = recalls;
  grant.duration_ms = Milliseconds(to.until - to.asked_at);
  send.push_back({to.vm, std::move(grant)});
  CapUnused();
}

void limit_allocator::GrantWaiting(steady_time now,
                                   std::vector<limit_send>& send) {
  const fair_level level = Level(now);
  for (holder& of : holders_) {
    if (now >= of.until) continue;
    const bool waits = of.given_tokens < of.wants_tokens ||
                       of.given_concurrent < of.wants_concurrent;
    if (!of.answered || waits) Grant(of, level, !of.answered, 0, now, send);
  }
}

std::uint32_t limit_allocator::Recall(const holder& asker,
                                      const fair_level& level, steady_time now,
                                      std::vector<limit_send>& send) {
  std::uint32_t recalls = 0;
  for (holder& of : holders_) {
    if (recalls == kMaxRecalls) break;
    if (&of == &asker || now >= of.until) continue;
    // The wants of a holder at the fair level may be outdated.
    const bool fair = of.held_tokens <= level.tokens * kSlack &&
                      of.held_concurrent <= level.concurrent;
    const bool none = of.held_tokens <= 0 && of.held_concurrent == 0;
    if (none) continue;
    const bool recalled = now < of.recalled_at + kRecallTime;
    if (recalled) ++recalls;
    if (fair && now < of.asked_at + kOutdated) continue;
    if (now < of.recalled_at + kRecallInterval) continue;
    of.recalled_at = now;
    ++recalls;
    send.push_back({of.vm, Message(limit_message_kind::kRecall, of.sequence)});
  }
  return recalls;
}

limit_message limit_allocator::Message(limit_message_kind kind,
                                       std::uint64_t sequence) const {
  limit_message of;
  of.kind = kind;
  of.workspace = workspace_;
  of.sequence = sequence;
  of.limit = limit_;
  return of;
}

}  // namespace marjoramsill
