#include "process/directory/record_coverage.h"

#include <algorithm>
#include <chrono>

namespace marjoramsill {
namespace {

/// Within this time each endpoint that runs has sent a heartbeat: one interval,
/// and a second for each of two control processes that do not answer.
constexpr std::chrono::milliseconds kAnnounceTime{3'200};
/// A gap that no control process has closed after this time stays one. Each of
/// them responds within a second while it can be reached.
constexpr std::chrono::milliseconds kMaxGapWait{2'000};

}  // namespace

void record_coverage::Add(steady_time started, steady_time as_of) {
  const steady_time since = started + kAnnounceTime;
  if (covered_ && started >= covered_->until) later_start_ = started;
  if (since > as_of) return;
  const bool is_gap = covered_ && since >= covered_->until;
  if (is_gap && as_of - covered_->until <= kMaxGapWait) return;
  if (!covered_ || is_gap) {
    covered_ = {since, as_of};
    return;
  }
  covered_->since = std::min(covered_->since, since);
  covered_->until = std::max(covered_->until, as_of);
}

bool record_coverage::ReachesBackTo(steady_time moment) const {
  if (!covered_ || covered_->since > moment) return false;
  return !later_start_ || covered_->until > *later_start_;
}

}  // namespace marjoramsill
