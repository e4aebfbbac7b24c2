#include "process/placement/endpoint_belief.h"

#include <algorithm>
#include <utility>

namespace marjoramsill {
namespace {

/// Weight of one answer in the failure rate: about the last ten count.
constexpr double kFailureGain = 0.1;
/// A load report says nothing about the load after this time.
constexpr std::chrono::milliseconds kReportLifetime{3'000};
/// Pause after the first broken call; it doubles with each further one.
constexpr std::chrono::milliseconds kFirstPause{200};
constexpr std::uint32_t kMaxPauseDoublings = 4;
/// Pause after a refusal because the endpoint was full.
constexpr std::chrono::milliseconds kFullPause{50};
/// An endpoint that is this long without any sign of life while requests wait
/// there is unresponsive. Busy engines send events of other requests, and
/// plain services answer, much more often.
constexpr std::chrono::milliseconds kUnresponsiveAfter{500};
/// After that time without a further request it is tried again.
constexpr std::chrono::milliseconds kUnresponsiveFor{2'500};
/// Assumed until the endpoint has said how many requests it runs at once.
constexpr std::uint32_t kDefaultSlots = 8;

}  // namespace

endpoint_belief::endpoint_belief(endpoint_record record,
                                 token_count cache_capacity)
    : record_(std::move(record)),
      prefixes_(cache_capacity),
      failures_(kFailureGain) {}

void endpoint_belief::Update(const endpoint_record& record) {
  if (record.born != record_.born) {
    prefixes_.Clear();
    failures_ = smoothed_value(kFailureGain);
    has_report_ = false;
    broken_in_row_ = 0;
    avoid_until_ = {};
    is_misdirected_ = false;
    unanswered_since_.reset();
  }
  if (record.address != record_.address) is_misdirected_ = false;
  record_ = record;
}

void endpoint_belief::NoteSent(steady_time now) {
  ++in_flight_;
  last_sent_ = now;
}

void endpoint_belief::NoteEnded() {
  if (in_flight_ > 0) --in_flight_;
}

void endpoint_belief::NoteRequestSent(steady_time now) {
  if (!unanswered_since_) unanswered_since_ = now;
}

void endpoint_belief::NoteHeard() { unanswered_since_.reset(); }

bool endpoint_belief::IsUnresponsive(steady_time now) const {
  if (!unanswered_since_) return false;
  const auto silent = now - *unanswered_since_;
  return silent > kUnresponsiveAfter && silent < kUnresponsiveFor;
}

void endpoint_belief::NoteLoad(const load_report& report, steady_time now) {
  report_ = report;
  in_flight_at_report_ = in_flight_;
  reported_at_ = now;
  has_report_ = true;
  is_report_shared_ = false;
}

void endpoint_belief::NoteSharedLoad(const load_report& report,
                                     steady_time measured_at) {
  if (has_report_ && measured_at <= reported_at_) return;
  report_ = report;
  // A request sent since then is not in the report.
  const bool sent_since = in_flight_ > 0 && last_sent_ > measured_at;
  in_flight_at_report_ = sent_since ? in_flight_ - 1 : in_flight_;
  reported_at_ = measured_at;
  has_report_ = true;
  is_report_shared_ = true;
}

std::optional<shared_load> endpoint_belief::TakeUnsharedLoad(steady_time now) {
  if (!has_report_ || is_report_shared_) return std::nullopt;
  is_report_shared_ = true;
  shared_load load;
  load.endpoint = DigestOf(record_.id);
  load.report = report_;
  load.age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - reported_at_);
  return load;
}

void endpoint_belief::NoteAnswer(bool success) {
  failures_.Add(success ? 0 : 1);
  broken_in_row_ = 0;
  if (success) avoid_until_ = {};
}

void endpoint_belief::NoteBroken(steady_time now) {
  unanswered_since_.reset();
  failures_.Add(1);
  const std::uint32_t doublings = std::min(broken_in_row_, kMaxPauseDoublings);
  ++broken_in_row_;
  avoid_until_ = now + kFirstPause * (1U << doublings);
}

void endpoint_belief::NoteTimeout() { failures_.Add(1); }

void endpoint_belief::NoteFull(steady_time now) {
  avoid_until_ = std::max(avoid_until_, now + kFullPause);
}

double endpoint_belief::EstimatedLoad(steady_time now) const {
  const double own = in_flight_;
  if (!has_report_ || now - reported_at_ > kReportLifetime) return own;
  const double since = own - in_flight_at_report_;
  return std::max(own, report_.running + report_.waiting + since);
}

std::optional<std::chrono::microseconds> endpoint_belief::ReportAge(
    steady_time now) const {
  if (!has_report_) return std::nullopt;
  return now - reported_at_;
}

std::uint32_t endpoint_belief::slots() const {
  if (record_.slots > 0) return record_.slots;
  return has_report_ && report_.slots > 0 ? report_.slots : kDefaultSlots;
}

bool endpoint_belief::IsServing() const {
  return !is_misdirected_ && (record_.phase == endpoint_phase::kReady ||
                              record_.phase == endpoint_phase::kSilent);
}

}  // namespace marjoramsill
