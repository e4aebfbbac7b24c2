#include "process/entry/content_trial_requester.h"

#include <algorithm>
#include <utility>

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// A member answers from memory, within a few milliseconds.
constexpr milliseconds kAskTimeout{300};
/// A VM that stood still meanwhile may hold leases that have run out.
constexpr milliseconds kMaxBallotTime{2 * kAskTimeout};
/// All VMs together ask for the same content about once in this time.
constexpr milliseconds kAskSpacing{20};
constexpr milliseconds kMinAskInterval{200};

}  // namespace

struct content_trial_requester::ballot {
  content_trial_request request;
  std::vector<vm_id> asked;
  std::size_t majority = 0;
  std::size_t granted = 0;
  std::size_t answered = 0;
  steady_time asked_at;
  /// Null once decided.
  decision_hook done;
};

void content_trial_requester::Request(const std::vector<content_trial>& trials,
                                      decision_hook done) {
  const steady_time now = hooks_.clock();
  const auto open = std::make_shared<ballot>();
  open->majority = hooks_.group_size() / 2 + 1;
  open->asked_at = now;
  for (const reachable_member& member : hooks_.members(now)) {
    open->asked.push_back(member.vm);
  }
  const bool may_ask = trials.size() <= kMaxContentTrials &&
                       open->asked.size() >= open->majority &&
                       TakeTurn(trials, now);
  if (!may_ask) {
    done(std::nullopt);
    return;
  }
  open->done = std::move(done);
  open->request = {content_trial_action::kAcquire, NextNumber(now), trials};
  const std::string body = EncodeContentTrials(open->request);
  for (const vm_id& vm : open->asked) {
    // A request that fails at once may have decided already.
    if (!open->done) return;
    hooks_.request(vm, body, kAskTimeout,
                   [this, open](const std::optional<std::string>& response) {
                     OnResponse(open, response == kTrialGranted);
                   });
  }
}

std::uint64_t content_trial_requester::NextNumber(steady_time now) {
  const auto time = static_cast<std::uint64_t>(now.time_since_epoch().count());
  last_number_ = std::max(last_number_ + 1, time);
  return last_number_;
}

bool content_trial_requester::TakeTurn(const std::vector<content_trial>& trials,
                                       steady_time now) {
  std::erase_if(next_turns_,
                [now](const auto& item) { return now >= item.second; });
  const auto is_asked = [this](const content_trial& each) {
    return next_turns_.contains(each.content);
  };
  if (std::any_of(trials.begin(), trials.end(), is_asked)) return false;
  const milliseconds interval =
      std::max(kMinAskInterval, kAskSpacing * hooks_.entry_count());
  for (const content_trial& each : trials) {
    next_turns_.emplace(each.content, now + interval);
  }
  return true;
}

void content_trial_requester::OnResponse(const std::shared_ptr<ballot>& open,
                                         bool is_granted) {
  ++open->answered;
  if (is_granted) ++open->granted;
  if (!open->done) return;
  const std::size_t missing = open->asked.size() - open->answered;
  if (open->granted >= open->majority) {
    Decide(open, hooks_.clock() - open->asked_at <= kMaxBallotTime);
  } else if (open->granted + missing < open->majority) {
    Decide(open, false);
  }
}

void content_trial_requester::Decide(const std::shared_ptr<ballot>& open,
                                     bool is_granted) {
  const decision_hook done = std::exchange(open->done, nullptr);
  if (is_granted) {
    done(open->request);
    return;
  }
  // A lease may have been granted although its response was lost.
  Release(open->request);
  done(std::nullopt);
}

void content_trial_requester::Release(const content_trial_request& granted) {
  content_trial_request request = granted;
  request.action = content_trial_action::kRelease;
  const std::string body = EncodeContentTrials(request);
  for (const reachable_member& member : hooks_.members(hooks_.clock())) {
    hooks_.request(member.vm, body, kAskTimeout,
                   [](const auto& /*response*/) {});
  }
}

}  // namespace marjoramsill
