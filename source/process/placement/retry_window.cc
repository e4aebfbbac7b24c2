#include "process/placement/retry_window.h"

#include <algorithm>

namespace marjoramsill {
namespace {

/// Share of the budget that is used. The rest allows for requests that are
/// unevenly distributed over windows, and for entry VMs that are not yet
/// counted.
constexpr double kUsedShare = 0.7;

}  // namespace

retry_window::retry_window(retry_settings settings) : settings_(settings) {}

void retry_window::Advance(steady_time now) {
  const std::uint64_t latest = static_cast<std::uint64_t>(
      now.time_since_epoch() * kBuckets / settings_.window);
  if (latest <= current_) return;
  const std::uint64_t passed =
      std::min<std::uint64_t>(latest - current_, kBuckets);
  for (std::uint64_t i = 1; i <= passed; ++i) {
    buckets_[(current_ + i) % kBuckets] = {};
  }
  current_ = latest;
  // Without calls for a whole window all buckets are out of date.
  if (passed == kBuckets) buckets_.fill({});
}

void retry_window::RecordRequest(steady_time now) {
  Advance(now);
  ++buckets_[current_ % kBuckets].requests;
}

bool retry_window::TakeRetry(std::uint32_t entry_count, steady_time now) {
  Advance(now);
  bucket total;
  for (const bucket& each : buckets_) {
    total.requests += each.requests;
    total.retries += each.retries;
  }
  const double entries = std::max<double>(1, entry_count);
  const double budget =
      kUsedShare * (settings_.ratio * static_cast<double>(total.requests) +
                    settings_.allowance / entries);
  if (static_cast<double>(total.retries) + 1 > budget) return false;
  ++buckets_[current_ % kBuckets].retries;
  return true;
}

}  // namespace marjoramsill
