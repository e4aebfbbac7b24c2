#include "process/entry/stop_sequence.h"

#include <algorithm>

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// After the signal, readiness fails but new connections are still served for
/// this time.
constexpr milliseconds kDrainDelay{2'800};
/// The remaining requests are ended this long before the end of the grace
/// period, so that their callers still receive the responses.
constexpr milliseconds kRequestMargin{700};
/// The process ends this long before the end of the grace period, so that it
/// exits before SIGKILL.
constexpr milliseconds kExitMargin{200};

/// Longest time for which a busy process is assumed not to have handled the
/// signal. After a longer pause of the process or its VM the stop is not cut
/// short by all of it.
constexpr milliseconds kMaxSignalDelay{1'000};

}  // namespace

void stop_sequence::Begin(steady_time active_at, steady_time now) {
  if (!since_) since_ = std::max(active_at, now - kMaxSignalDelay);
}

std::optional<milliseconds> stop_sequence::Elapsed(steady_time now) const {
  if (!since_) return std::nullopt;
  return std::chrono::duration_cast<milliseconds>(now - *since_);
}

bool stop_sequence::CanTake(steady_time deadline, bool is_handed_on,
                            steady_time now) const {
  if (!since_) return true;
  if (!is_handed_on && !IsClosed(now)) return true;
  return deadline <= *since_ + grace_ - kRequestMargin;
}

bool stop_sequence::IsClosed(steady_time now) const {
  return since_ && now - *since_ >= kDrainDelay;
}

bool stop_sequence::AreRequestsOver(steady_time now) const {
  return since_ && now - *since_ >= grace_ - kRequestMargin;
}

bool stop_sequence::IsOver(steady_time now) const {
  return since_ && now - *since_ >= grace_ - kExitMargin;
}

}  // namespace marjoramsill
