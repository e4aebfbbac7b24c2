#include "process/placement/endpoint_estimate.h"

#include <algorithm>
#include <utility>

namespace marjoramsill {
namespace {

/// Weight of one call in the failure rate, so that about the last ten calls
/// count.
constexpr double kFailureGain = 0.1;
/// A load report is not used after this time.
constexpr std::chrono::milliseconds kMaxReportAge{3'000};
/// A queue that was reported is expected to last for this time. Endpoints with
/// running requests report several times within it.
constexpr std::chrono::milliseconds kMaxQueueReportAge{500};
/// The endpoint is avoided for this time after the first connection failure;
/// the time doubles with each consecutive one.
constexpr std::chrono::milliseconds kFirstAvoidTime{200};
constexpr std::uint32_t kMaxAvoidTimeDoublings = 4;
/// The endpoint is avoided for this time after it refused a request because it
/// was at capacity.
constexpr std::chrono::milliseconds kCapacityAvoidTime{50};
/// An endpoint with outstanding requests is unresponsive if no response data
/// arrives for this time. A busy engine sends events of other requests, and a
/// plain service sends responses, much more often.
constexpr std::chrono::milliseconds kUnresponsiveAfter{500};
/// An unresponsive endpoint is tried again this long after the request that
/// got no response.
constexpr std::chrono::milliseconds kUnresponsiveFor{2'500};
/// The record of an endpoint that starts again arrives within this time: one
/// interval of heartbeats, and the way over a control process.
constexpr std::chrono::milliseconds kRecordDelay{2'000};
/// Control processes do not send a change of the warm-up time that is smaller.
constexpr std::chrono::milliseconds kColdMargin{200};
/// Assumed until the endpoint reports how many requests it runs at once.
constexpr std::uint32_t kDefaultSlots = 8;

}  // namespace

endpoint_estimate::endpoint_estimate(endpoint_record record,
                                     token_count cache_capacity,
                                     std::shared_ptr<endpoint_terms> terms)
    : record_(std::move(record)),
      prefixes_(cache_capacity),
      terms_(std::move(terms)),
      failures_(kFailureGain) {}

void endpoint_estimate::Update(const endpoint_record& record) {
  if (record.incarnation != record_.incarnation) {
    prefixes_.Clear();
    failures_ = smoothed_value(kFailureGain);
    has_report_ = false;
    consecutive_failures_ = 0;
    avoid_until_ = {};
    is_misdirected_ = false;
    waiting_since_.reset();
    dropped_until_.clear();
    connection_lost_at_.reset();
    speed_.Clear();
  }
  if (record.address != record_.address) is_misdirected_ = false;
  record_ = record;
}

void endpoint_estimate::OnCallStart(steady_time now) {
  ++in_flight_;
  own_calls_.Add(1, now);
  terms_->limit().Take(now);
  warm_up_.Take(now);
}

void endpoint_estimate::OnCallEnd(steady_time now) {
  if (in_flight_ == 0) return;
  --in_flight_;
  own_calls_.Add(-1, now);
}

void endpoint_estimate::OnCallDropped(steady_time until, steady_time now) {
  std::erase_if(dropped_until_,
                [now](steady_time each) { return each <= now; });
  dropped_until_.push_back(until);
}

std::uint32_t endpoint_estimate::SlotsTaken(steady_time now) const {
  const auto dropped =
      std::count_if(dropped_until_.begin(), dropped_until_.end(),
                    [now](steady_time until) { return until > now; });
  return in_flight_ + static_cast<std::uint32_t>(dropped);
}

bool endpoint_estimate::HasQueue(steady_time now) const {
  return has_report_ && report_.waiting > 0 &&
         now - reported_at_ <= kMaxQueueReportAge;
}

void endpoint_estimate::OnRequestSent(steady_time now) {
  if (!waiting_since_) waiting_since_ = now;
}

void endpoint_estimate::OnActivity() { waiting_since_.reset(); }

bool endpoint_estimate::IsUnresponsive(steady_time now) const {
  if (!waiting_since_) return false;
  const auto waited = now - *waiting_since_;
  return waited > kUnresponsiveAfter && waited < kUnresponsiveFor;
}

void endpoint_estimate::RecordLoad(const load_report& report, steady_time now) {
  report_ = report;
  first_unreported_ = own_calls_.end();
  reported_at_ = now;
  has_report_ = true;
  is_report_own_ = true;
  is_report_shared_ = false;
  if (report.duration_percent) {
    speed_.RecordStated(*report.duration_percent, now);
  }
}

void endpoint_estimate::RecordSharedLoad(const load_report& report,
                                         steady_time measured_at) {
  if (report.slots == 0) return;
  if (has_report_ && measured_at <= reported_at_) return;
  report_ = report;
  first_unreported_ = own_calls_.FirstAfter(measured_at);
  reported_at_ = measured_at;
  has_report_ = true;
  is_report_own_ = false;
  is_report_shared_ = true;
  if (report.duration_percent) {
    speed_.RecordStated(*report.duration_percent, measured_at);
  }
}

std::optional<shared_load> endpoint_estimate::TakeUnsharedLoad(
    steady_time now) {
  const bool has_load = has_report_ && !is_report_shared_;
  // Without a load, the entry would displace the one of another VM.
  const bool has_sample = !has_report_ && speed_.evidence().HasUnshared();
  if (!has_load && !terms_->has_unshared() && !has_sample) return std::nullopt;
  is_report_shared_ = true;
  terms_->MarkShared();
  shared_load load;
  load.endpoint = DigestOf(record_.id);
  if (has_load) load.report = report_;
  steady_time measured_at = has_load ? reported_at_ : terms_->stated_at();
  if (has_sample) {
    measured_at = std::max(measured_at, speed_.evidence().measured_at());
  }
  load.age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - measured_at);
  load.limit = terms_->limit().per_second();
  load.refusal_limit = terms_->refusal_limit();
  load.sample = speed_.evidence().TakeSample(now);
  return load;
}

void endpoint_estimate::OnResponse(bool success) {
  failures_.Add(success ? 0 : 1);
  consecutive_failures_ = 0;
  if (success) avoid_until_ = {};
}

void endpoint_estimate::OnConnectionFailure(steady_time now) {
  waiting_since_.reset();
  failures_.Add(1);
  const std::uint32_t doublings =
      std::min(consecutive_failures_, kMaxAvoidTimeDoublings);
  ++consecutive_failures_;
  failed_at_ = now;
  connection_lost_at_ = now;
  avoid_until_ = now + kFirstAvoidTime * (1U << doublings);
}

bool endpoint_estimate::MayHaveRestarted(steady_time now) const {
  return connection_lost_at_ && now - *connection_lost_at_ < kRecordDelay;
}

void endpoint_estimate::SetColdFor(std::chrono::milliseconds left,
                                   steady_time now) {
  cold_until_ = left.count() > 0 ? now + left + kColdMargin : now;
}

bool endpoint_estimate::HasFailedWithin(std::chrono::milliseconds period,
                                        steady_time now) const {
  return failed_at_ != steady_time() && now - failed_at_ < period;
}

void endpoint_estimate::ForgetFailures() {
  waiting_since_.reset();
  consecutive_failures_ = 0;
  avoid_until_ = {};
  failures_ = smoothed_value(kFailureGain);
}

void endpoint_estimate::OnTimeout() { failures_.Add(1); }

void endpoint_estimate::OnCapacityRefusal(steady_time now) {
  avoid_until_ = std::max(avoid_until_, now + kCapacityAvoidTime);
}

double endpoint_estimate::EstimatedLoad(steady_time now) const {
  const double own = in_flight_;
  if (!has_report_ || now - reported_at_ > kMaxReportAge) return own;
  const double reported = report_.running + report_.waiting;
  return std::max(own, reported + own_calls_.ChangeSince(first_unreported_));
}

double endpoint_estimate::ExpectedLoad(double duration_ms,
                                       steady_time now) const {
  const double load = EstimatedLoad(now);
  const double own = in_flight_;
  if (!has_report_ || is_report_own_ || load <= own) return load;
  const double ended_share =
      std::min(1.0, MillisOf(now - reported_at_) / duration_ms);
  return std::max(own, load - ended_share);
}

bool endpoint_estimate::IsKnownToServe(steady_time now) const {
  return IsServing() && IsKnownToOperate(now);
}

bool endpoint_estimate::IsKnownToOperate(steady_time now) const {
  if (!IsOperating()) return false;
  const bool has_recent_report =
      has_report_ && now - reported_at_ <= kMaxReportAge;
  if (has_recent_report && reported_at_ > failed_at_) return true;
  return record_.phase == endpoint_phase::kReady && consecutive_failures_ == 0;
}

std::optional<std::chrono::microseconds> endpoint_estimate::ReportAge(
    steady_time now) const {
  if (!has_report_) return std::nullopt;
  return now - reported_at_;
}

std::uint32_t endpoint_estimate::slots() const {
  if (record_.slots > 0) return record_.slots;
  return has_report_ && report_.slots > 0 ? report_.slots : kDefaultSlots;
}

bool endpoint_estimate::IsOperating() const {
  return !is_misdirected_ && (record_.phase == endpoint_phase::kReady ||
                              record_.phase == endpoint_phase::kSilent);
}

}  // namespace marjoramsill
