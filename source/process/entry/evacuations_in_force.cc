#include "process/entry/evacuations_in_force.h"

#include <algorithm>

namespace marjoramsill {
namespace {

/// As for the document of a process that starts.
constexpr std::chrono::milliseconds kProofWait{2'000};

}  // namespace

evacuations_in_force::evacuations_in_force(std::chrono::milliseconds max_age)
    : max_age_(max_age) {}

bool evacuations_in_force::Update(const evacuation_set& set,
                                  std::optional<steady_time> as_of) {
  const bool is_newer = set.change > set_.change;
  if (is_newer) set_ = set;
  // A former leader whose set is older than the one in force proves nothing.
  if (as_of && set.change == set_.change) {
    confirmed_as_of_ = std::max(confirmed_as_of_.value_or(*as_of), *as_of);
  }
  return is_newer;
}

bool evacuations_in_force::IsCurrent(steady_time now) const {
  return confirmed_as_of_ && now - *confirmed_as_of_ <= max_age_;
}

bool evacuations_in_force::MayServe(steady_time now) {
  // Shorter suspensions leave time to receive a set within its bound.
  if (last_call_ && now - *last_call_ > max_age_) resumed_at_ = now;
  last_call_ = now;
  if (!resumed_at_) return true;
  const bool is_confirmed =
      confirmed_as_of_ && *confirmed_as_of_ >= *resumed_at_;
  if (is_confirmed || now - *resumed_at_ >= kProofWait) resumed_at_.reset();
  return !resumed_at_;
}

}  // namespace marjoramsill
