#ifndef MARJORAMSILL_TESTS_ADMISSION_FAKE_CAPACITY_H_
#define MARJORAMSILL_TESTS_ADMISSION_FAKE_CAPACITY_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <unordered_map>

#include "process/admission/admission_queue.h"

namespace marjoramsill {

/// Drives an admission_queue in virtual time: admitted requests end after
/// their service time. Counts the outcomes.
class fake_capacity {
 public:
  struct seen {
    admission_offer offer;
    steady_time offered;
    int admitted = 0;
    int rejected = 0;
    bool finished = false;
    std::chrono::microseconds wait{0};
    admission_rejection rejection;
  };

  fake_capacity(const admission_policy& policy, admission_capacity capacity,
                std::uint64_t seed = 1)
      : queue(policy, std::mt19937_64(seed)) {
    queue.SetCapacity(capacity, now, actions_);
  }

  /// Offers a request; returns its number in `requests`.
  std::uint64_t Offer(rank rank, std::uint64_t workspace, std::uint64_t cost,
                      std::chrono::milliseconds service,
                      std::chrono::milliseconds deadline, double weight = 1) {
    const std::uint64_t number = requests.size();
    const admission_offer offer{.request = request_handle(number),
                                .rank = rank,
                                .workspace = workspace_handle(workspace),
                                .weight = weight,
                                .cost = cost_units(cost),
                                .deadline = now + deadline,
                                .expected_service = service};
    seen& of = requests[number];
    of.offer = offer;
    of.offered = now;
    const offer_result result = queue.Offer(offer, now);
    if (result.has_failure()) {
      ++of.rejected;
      of.rejection = result.error();
    } else {
      tickets[number] = result.value().ticket;
      if (result.value().state == offer_state::kAdmitted) Admit(number);
    }
    return number;
  }

  /// Runs until `until`, with a tick every 10 ms.
  void RunUntil(steady_time until) {
    while (true) {
      const steady_time end = ends_.empty() ? until : ends_.begin()->first;
      const steady_time next = std::min({end, next_tick_, until});
      now = std::max(now, next);
      if (now >= until) return;
      if (next == next_tick_) {
        next_tick_ += std::chrono::milliseconds(10);
        queue.Tick(now, actions_);
      } else {
        FinishFirst();
      }
      Apply();
    }
  }
  void RunFor(std::chrono::milliseconds time) { RunUntil(now + time); }

  void SetCapacity(admission_capacity capacity) {
    queue.SetCapacity(capacity, now, actions_);
    Apply();
  }
  bool Cancel(std::uint64_t number) { return queue.Cancel(tickets.at(number)); }
  void FinishFirst() {
    if (ends_.empty()) return;
    const std::uint64_t number = ends_.begin()->second;
    ends_.erase(ends_.begin());
    seen& of = requests.at(number);
    of.finished = true;
    queue.Finish(tickets.at(number), used(of.offer), now, actions_);
    Apply();
  }
  std::uint64_t AdmittedCost(rank rank) const {
    return admitted_cost_.at(static_cast<std::size_t>(rank));
  }
  std::uint64_t AdmittedCostOf(std::uint64_t workspace) const {
    std::uint64_t sum = 0;
    for (const auto& [number, of] : requests) {
      if (of.offer.workspace.value() == workspace && of.admitted > 0) {
        sum += of.offer.cost.value();
      }
    }
    return sum;
  }

  steady_time now;
  admission_queue queue;
  std::unordered_map<std::uint64_t, seen> requests;
  std::unordered_map<std::uint64_t, admission_ticket> tickets;
  std::function<cost_units(const admission_offer&)> used =
      [](const admission_offer& offer) { return offer.cost; };

 private:
  void Admit(std::uint64_t number) {
    seen& of = requests.at(number);
    ++of.admitted;
    of.wait = now - of.offered;
    admitted_cost_.at(static_cast<std::size_t>(of.offer.rank)) +=
        of.offer.cost.value();
    ends_.emplace(now + of.offer.expected_service, number);
  }
  void Apply() {
    for (const admission_action& action : actions_) {
      seen& of = requests.at(action.request.value());
      if (action.kind == admission_action_kind::kAdmit) {
        Admit(action.request.value());
      } else {
        ++of.rejected;
        of.rejection = action.rejection;
        of.wait = now - of.offered;
      }
    }
    actions_.clear();
  }

  admission_actions actions_;
  std::array<std::uint64_t, kRankCount> admitted_cost_{};
  std::multimap<steady_time, std::uint64_t> ends_;
  steady_time next_tick_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_ADMISSION_FAKE_CAPACITY_H_
