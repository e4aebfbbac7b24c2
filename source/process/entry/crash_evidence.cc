#include "process/entry/crash_evidence.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// Time after which refused connections alone count as a crash. Exceeds one and
/// a half heartbeat intervals (1.2 s each), and leaves the rest of the contact
/// time for the reports to reach all VMs.
constexpr milliseconds kRefusalTime{1'900};
/// A new start, an end or a silence decides up to this time. Longer than three
/// heartbeat intervals, after which a record turns silent.
constexpr milliseconds kRecordTime{4'500};
/// Refusals of several endpoints of a pool within this time may come from
/// broken links of this VM.
constexpr milliseconds kTogetherTime{500};
constexpr milliseconds kProbeInterval{200};
/// A sound endpoint has sent a heartbeat by then.
constexpr milliseconds kQuestionTime{1'600};
/// Longer than the timeout of a question, so that answers of two rounds do not
/// mix.
constexpr milliseconds kQuestionInterval{400};
/// Heartbeats may have been sent before the crash and arrive within this time
/// after it.
constexpr milliseconds kTravelTime{200};
/// The age of a report of another VM leaves out its two transfers, which take
/// longer than one heartbeat on busy links.
constexpr milliseconds kReportTravelTime{600};
/// Bounds the memory to about 100 KB; further ends are not recorded.
constexpr std::size_t kMaxOpen = 256;

}  // namespace

void crash_evidence::OnRefused(const endpoint_record& endpoint,
                               const std::vector<content_digest>& suspects,
                               steady_time now) {
  const endpoint_run_digest run = DigestOfRun(endpoint);
  const auto found = open_.find(run);
  if (found == open_.end() && open_.size() >= kMaxOpen) return;
  open_case& each = found == open_.end() ? open_[run] : found->second;
  std::vector<content_digest>& known = each.decision.suspects;
  for (const content_digest content : suspects) {
    if (std::find(known.begin(), known.end(), content) == known.end()) {
      known.push_back(content);
    }
  }
  if (found != open_.end()) return;
  each.decision.endpoint = endpoint;
  each.decision.refused_at = now;
  each.digest = DigestOf(endpoint.id);
  each.next_probe = now + kProbeInterval;
  each.next_question = now + kQuestionTime;
  MarkTogether(each, now);
}

void crash_evidence::MarkTogether(open_case& added, steady_time now) {
  for (auto& [run, other] : open_) {
    if (&other == &added ||
        other.decision.endpoint.pool != added.decision.endpoint.pool ||
        now - other.decision.refused_at > kTogetherTime) {
      continue;
    }
    other.is_together = true;
    added.is_together = true;
  }
}

void crash_evidence::OnReached(endpoint_run_digest run) {
  const auto found = open_.find(run);
  if (found != open_.end()) found->second.was_reached = true;
}

void crash_evidence::OnReport(endpoint_digest endpoint,
                              steady_time measured_at) {
  for (auto& [run, each] : open_) {
    const bool is_later =
        measured_at >= each.decision.refused_at + kReportTravelTime;
    if (each.digest == endpoint && is_later) each.was_reached = true;
  }
}

void crash_evidence::OnRecord(const endpoint_record& changed) {
  for (auto& [run, each] : open_) {
    const endpoint_record& known = each.decision.endpoint;
    if (known.id != changed.id || changed.incarnation < known.incarnation) {
      continue;
    }
    if (changed.incarnation > known.incarnation) {
      each.has_new_start = true;
    } else if (changed.phase == endpoint_phase::kEnded) {
      each.has_ended = true;
    } else {
      each.is_silent = changed.phase == endpoint_phase::kSilent;
    }
  }
}

void crash_evidence::OnHeartbeats(endpoint_run_digest run,
                                  heartbeat_state state) {
  const auto found = open_.find(run);
  if (found == open_.end()) return;
  ++found->second.answers;
  if (state == heartbeat_state::kContinues) found->second.has_heartbeat = true;
  if (state == heartbeat_state::kStopped) found->second.has_stopped = true;
}

std::vector<endpoint_record> crash_evidence::TakeProbes(steady_time now) {
  std::vector<endpoint_record> due;
  for (auto& [run, each] : open_) {
    if (each.was_reached || now < each.next_probe) continue;
    each.next_probe = now + kProbeInterval;
    due.push_back(each.decision.endpoint);
  }
  return due;
}

std::vector<heartbeat_question> crash_evidence::TakeQuestions(steady_time now) {
  std::vector<heartbeat_question> due;
  for (auto& [run, each] : open_) {
    if (now < each.next_question) continue;
    if (due.size() == kMaxHeartbeatQuestions) break;
    each.next_question = now + kQuestionInterval;
    // Each round of answers is counted by itself.
    each.answers = 0;
    each.has_stopped = false;
    const auto period = std::chrono::duration_cast<milliseconds>(
        now - each.decision.refused_at - kTravelTime);
    const endpoint_record& endpoint = each.decision.endpoint;
    due.push_back({endpoint.id, endpoint.incarnation, period});
  }
  return due;
}

std::optional<crash_finding> crash_evidence::Decide(
    const open_case& each, std::size_t control_processes, steady_time now) {
  const auto age = now - each.decision.refused_at;
  if (each.has_new_start) return crash_finding::kNewStart;
  if (each.has_ended) return crash_finding::kEnded;
  if (each.has_heartbeat) return crash_finding::kHeartbeatsContinue;
  if (!each.was_reached && age >= kRefusalTime) {
    const bool has_majority = 2 * each.answers > control_processes;
    // Records of a failure domain that is cut off turn silent together.
    if (each.is_silent && !each.is_together) return crash_finding::kSilent;
    if (each.has_stopped && has_majority) {
      return crash_finding::kHeartbeatsStopped;
    }
    if (!each.is_together) return crash_finding::kRefused;
  }
  if (age < kRecordTime) return std::nullopt;
  return each.was_reached ? crash_finding::kReached
                          : crash_finding::kLinksBroke;
}

std::vector<crash_decision> crash_evidence::TakeDecisions(
    std::size_t control_processes, steady_time now) {
  std::vector<crash_decision> decided;
  for (auto it = open_.begin(); it != open_.end();) {
    const auto finding = Decide(it->second, control_processes, now);
    if (!finding) {
      ++it;
      continue;
    }
    it->second.decision.finding = *finding;
    decided.push_back(std::move(it->second.decision));
    it = open_.erase(it);
  }
  return decided;
}

}  // namespace marjoramsill
