#include "process/placement/pool_reach.h"

#include <algorithm>

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// Endpoints that fail to accept a connection before others are probed.
constexpr std::size_t kSuspectedFailures = 2;
/// Silence of all endpoints, while one owes a response, before some are probed.
/// A busy pool sends events every few milliseconds.
constexpr milliseconds kSuspectedSilence{200};
/// A silence is not looked into again for this time after endpoints were
/// reached: long prompts take that time before their first event.
constexpr milliseconds kSilenceRecheck{600};
/// Time between rounds of probes while some endpoint is reached.
constexpr milliseconds kProbeInterval{250};
/// Time between rounds while the links are lost; grows up to the second one.
constexpr milliseconds kMinLostInterval{200};
constexpr milliseconds kMaxLostInterval{1'000};
/// Rounds in a row that reach a minority of the probed endpoints before the
/// links count as returning.
constexpr int kReturnRounds = 2;
/// Time in which all requests move back to the links.
constexpr milliseconds kReturnTime{1'000};
/// Kept connections that carried a response within this time are alive.
constexpr milliseconds kRecentActivity{300};

}  // namespace

const char* LinkStateText(link_state state) {
  switch (state) {
    case link_state::kUp:
      return "up";
    case link_state::kLost:
      return "lost";
    case link_state::kReturning:
      return "returning";
  }
  return "unknown";
}

bool pool_reach::IsSuspected(std::optional<steady_time> waiting_since,
                             std::size_t serving, steady_time now) const {
  if (failed_.size() >= std::min(kSuspectedFailures, serving)) return true;
  if (!waiting_since || now - last_reached_ < kSilenceRecheck) return false;
  return now - std::max(*waiting_since, last_activity_) >= kSuspectedSilence;
}

bool pool_reach::IsProbeDue(std::optional<steady_time> waiting_since,
                            std::size_t serving, steady_time now) const {
  if (is_probing_ || serving == 0 || now < next_probe_) return false;
  return is_lost_ || IsSuspected(waiting_since, serving, now);
}

bool pool_reach::OnProbeEnd(std::size_t reached, std::size_t failed,
                            steady_time now) {
  is_probing_ = false;
  if (reached == 0 && failed > 0) {
    const bool was_lost = is_lost_;
    OnLost(now);
    return !was_lost;
  }
  failed_.clear();
  last_reached_ = now;
  next_probe_ = now + kProbeInterval;
  if (!is_lost_) return false;
  ++reached_rounds_;
  if (reached <= failed && reached_rounds_ < kReturnRounds) return false;
  is_lost_ = false;
  returning_since_ = now;
  return true;
}

void pool_reach::OnLost(steady_time now) {
  probe_interval_ = is_lost_ ? std::min(probe_interval_ + probe_interval_ / 2,
                                        kMaxLostInterval)
                             : kMinLostInterval;
  is_lost_ = true;
  reached_rounds_ = 0;
  returning_since_.reset();
  next_probe_ = now + probe_interval_;
}

link_state pool_reach::state(steady_time now) const {
  if (is_lost_) return link_state::kLost;
  return DirectShare(now) < 1 ? link_state::kReturning : link_state::kUp;
}

double pool_reach::DirectShare(steady_time now) const {
  if (is_lost_) return 0;
  if (!returning_since_) return 1;
  const std::chrono::duration<double> since = now - *returning_since_;
  const std::chrono::duration<double> all = kReturnTime;
  return std::min(1.0, since / all);
}

bool pool_reach::HasRecentActivity(steady_time now) const {
  return now - last_activity_ < kRecentActivity;
}

}  // namespace marjoramsill
