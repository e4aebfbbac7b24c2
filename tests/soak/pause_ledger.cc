#include "pause_ledger.h"

#include <algorithm>

namespace marjoramsill::soak {
namespace {

/// Requests that were on their way may still arrive for this time.
constexpr std::chrono::milliseconds kGrace{500};
/// `drainMs` of the users' deployments.
constexpr std::chrono::milliseconds kDrainTime{2'000};
/// Longer than any run.
constexpr double kMaxSeconds = 3'600;

}  // namespace

void pause_ledger::TurnAway(const std::string& vm, const std::string& endpoint,
                            double seconds, time_point now) {
  const std::chrono::duration<double> length(std::min(seconds, kMaxSeconds));
  const auto end =
      now + std::chrono::duration_cast<time_point::duration>(length);
  if (end <= now + kGrace) return;
  std::vector<pause>& known = pauses_[{vm, endpoint}];
  std::erase_if(known, [now](const pause& each) { return each.end < now; });
  known.push_back({now + kGrace, end, 0});
  ++pause_count_;
}

void pause_ledger::AnswerLeaving(const std::string& vm,
                                 const std::string& endpoint, time_point now) {
  leave_count_ += left_at_.try_emplace({vm, endpoint}, now).second;
}

void pause_ledger::Arrive(const std::string& vm, const std::string& endpoint,
                          time_point now) {
  const auto left = left_at_.find({vm, endpoint});
  if (left != left_at_.end() && now > left->second + kDrainTime) {
    ++late_arrivals_;
  }
  const auto found = pauses_.find({vm, endpoint});
  if (found == pauses_.end()) return;
  for (pause& each : found->second) {
    if (now <= each.counts_from || now >= each.end) continue;
    most_arrivals_ = std::max(most_arrivals_, ++each.arrivals);
  }
}

void pause_ledger::ExcuseVm(const std::string& vm) {
  const auto is_of_vm = [&vm](const auto& entry) {
    return entry.first.first == vm;
  };
  std::erase_if(pauses_, is_of_vm);
  std::erase_if(left_at_, is_of_vm);
}

void pause_ledger::StartEndpoint(const std::string& endpoint) {
  const auto is_of_endpoint = [&endpoint](const auto& entry) {
    return entry.first.second == endpoint;
  };
  std::erase_if(pauses_, is_of_endpoint);
  std::erase_if(left_at_, is_of_endpoint);
}

}  // namespace marjoramsill::soak
