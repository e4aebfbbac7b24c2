#include "extra_attempts.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "request/attempt_plan.h"

namespace marjoramsill {
namespace {

constexpr int kEndpoints = 20;
constexpr std::uint64_t kSeed = 20261203;

// Endpoints with an odd number fail; the router does not know which.
bool IsFailing(const endpoint_id& endpoint) {
  return std::stoi(endpoint.value()) % 2 == 1;
}

class shard_simulation {
 public:
  // Runs one call. Every second endpoint fails: with equal probability it
  // refuses the connection or interrupts the stream.
  void RunCall() {
    attempt_settings settings;
    settings.streamed = true;
    settings.deadline = now_ + std::chrono::seconds(10);
    attempt_plan plan(settings, Hooks());
    call_actions actions = plan.Start(now_);
    while (!plan.ended()) actions = React(plan, actions);
    for (const call_action& action : actions) {
      if (std::holds_alternative<end_delivery>(action)) ++completed_;
    }
  }

  const retry_budget& budget() const { return budget_; }
  std::uint64_t completed() const { return completed_; }

 private:
  call_hooks Hooks() {
    call_hooks hooks;
    hooks.choose = [this](const std::vector<endpoint_id>& tried) {
      while (true) {
        const endpoint_id pick(std::to_string(random_() % kEndpoints));
        if (std::find(tried.begin(), tried.end(), pick) == tried.end()) {
          return std::optional<endpoint_id>(pick);
        }
      }
    };
    hooks.next_attempt = [this] {
      return attempt_id(std::to_string(++attempts_));
    };
    hooks.random = [this] { return random_(); };
    hooks.budget = &budget_;
    return hooks;
  }

  call_actions React(attempt_plan& plan, const call_actions& actions) {
    const start_attempt* start = nullptr;
    for (const call_action& action : actions) {
      if (const auto* found = std::get_if<start_attempt>(&action)) {
        start = found;
      }
    }
    if (start == nullptr) return plan.OnTimer(now_ + std::chrono::seconds(11));
    const attempt_id id = start->attempt;
    const bool fails = IsFailing(start->endpoint);
    if (fails && random_() % 2 == 0) return plan.OnFailure(id, now_);
    plan.ConfirmSend(id, now_);
    response_head head;
    head.status = 200;
    head.echoed = id;
    plan.OnHead(id, head, now_);
    plan.OnData(id, "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n",
                now_);
    if (fails) return plan.OnFailure(id, now_);
    return plan.OnData(id, "data: [DONE]\n\n", now_);
  }

  steady_time now_;
  std::mt19937_64 random_{kSeed};
  retry_budget budget_;
  std::uint64_t attempts_ = 0;
  std::uint64_t completed_ = 0;
};

}  // namespace

bool MeasureExtraAttempts() {
  bool within = true;
  for (const std::uint64_t calls : {100U, 1'000U, 10'000U, 100'000U}) {
    shard_simulation shard;
    for (std::uint64_t i = 0; i < calls; ++i) shard.RunCall();
    const retry_budget& budget = shard.budget();
    const double first = static_cast<double>(budget.first_attempts());
    std::printf(
        "first_attempts=%ju extra_attempts=%ju extra_per_first=%.4f "
        "reserve=%ju reserve_used=%ju denied=%ju completed_share=%.4f\n",
        budget.first_attempts(), budget.extra_attempts(),
        static_cast<double>(budget.extra_attempts()) / first,
        retry_budget::kRetryReserve, budget.reserve_used(),
        budget.denied_attempts(),
        static_cast<double>(shard.completed()) / first);
    within =
        within && budget.first_attempts() == calls &&
        budget.extra_attempts() <= calls / 10 + retry_budget::kRetryReserve;
  }
  return within;
}

}  // namespace marjoramsill
