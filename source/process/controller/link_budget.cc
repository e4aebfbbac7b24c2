#include "process/controller/link_budget.h"

namespace marjoramsill {
namespace {

constexpr double kBytesPerMegabit = 1e6 / 8;
/// Unused budget that may be sent at once, and what urgent responses may
/// overdraw.
constexpr double kBurstSeconds = 0.1;
/// Unused budget that may be sent as records at once. After a restart of
/// control processes all watchers need all records, and serve nothing without
/// them. With all bursts, responses take at most 0.51 of the link in a second.
constexpr double kRecordsBurstSeconds = 0.25;
/// Part of the budget that urgent responses leave to records, and the part that
/// content records may take.
constexpr double kRecordsPart = 0.2;
constexpr double kContentsPart = 0.3;

token_bucket Bucket(double rate, double burst) {
  return {static_cast<std::int64_t>(rate), static_cast<std::int64_t>(burst)};
}

}  // namespace

link_budget::link_budget(double link_mbps) {
  if (link_mbps <= 0) return;
  const double rate = kWatchShare * kBytesPerMegabit * link_mbps;
  rate_ = static_cast<std::int64_t>(rate);
  burst_ = static_cast<std::int64_t>(rate * kBurstSeconds);
  watch_.emplace(Bucket(rate * (1 - kRecordsPart),
                        rate * (1 - kRecordsPart) * kBurstSeconds));
  records_.emplace(Bucket(rate * kRecordsPart, rate * kRecordsBurstSeconds));
  contents_.emplace(
      Bucket(rate * kContentsPart, rate * kContentsPart * kBurstSeconds));
}

bool link_budget::Allows(link_use use, steady_time now) {
  if (!watch_) return true;
  const std::int64_t available = watch_->Available(now);
  switch (use) {
    case link_use::kUrgent:
      return available > -burst_;
    case link_use::kRecords:
      return available > 0 || records_->Available(now) > 0;
    case link_use::kLoads:
      return available > burst_ / 4;
    case link_use::kUrgentContents:
      return available > -burst_ / 2 && contents_->Available(now) > 0;
    case link_use::kContents:
      break;
  }
  return available > burst_ / 2 && contents_->Available(now) > 0;
}

bool link_budget::HasRoom(steady_time now) {
  return watch_ && 2 * watch_->Available(now) > burst_;
}

void link_budget::Charge(std::size_t bytes, std::size_t content_bytes,
                         bool has_records, steady_time now) {
  if (!watch_) return;
  contents_->Debit(now, static_cast<std::int64_t>(content_bytes));
  // Takes from the part of the records only when the rest is used up, and only
  // for records: urgent responses would use it up.
  const bool is_overdrawn = watch_->Available(now) <= 0;
  const bool takes_records =
      has_records && is_overdrawn && records_->Available(now) > 0;
  // A single response that is longer than the burst, on a very slow link, does
  // not hold back all others for longer than the burst takes.
  (takes_records ? *records_ : *watch_)
      .Debit(now, static_cast<std::int64_t>(bytes), 2 * burst_);
}

}  // namespace marjoramsill
