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
  /// An offered request and its outcome.
  struct request_record {
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
    request_record& record = requests[number];
    record.offer = offer;
    record.offered = now;
    const offer_result result = queue.Offer(offer, now);
    if (result.has_failure()) {
      ++record.rejected;
      record.rejection = result.error();
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
    request_record& record = requests.at(number);
    record.finished = true;
    queue.Finish(tickets.at(number), actual_cost(record.offer), now, actions_);
    Apply();
  }
  std::uint64_t AdmittedCost(rank rank) const {
    return admitted_cost_.at(static_cast<std::size_t>(rank));
  }
  std::uint64_t AdmittedCostOf(std::uint64_t workspace) const {
    std::uint64_t sum = 0;
    for (const auto& [number, record] : requests) {
      if (record.offer.workspace.value() == workspace && record.admitted > 0) {
        sum += record.offer.cost.value();
      }
    }
    return sum;
  }

  steady_time now;
  admission_queue queue;
  std::unordered_map<std::uint64_t, request_record> requests;
  std::unordered_map<std::uint64_t, admission_ticket> tickets;
  std::function<cost_units(const admission_offer&)> actual_cost =
      [](const admission_offer& offer) { return offer.cost; };

 private:
  void Admit(std::uint64_t number) {
    request_record& record = requests.at(number);
    ++record.admitted;
    record.wait = now - record.offered;
    admitted_cost_.at(static_cast<std::size_t>(record.offer.rank)) +=
        record.offer.cost.value();
    ends_.emplace(now + record.offer.expected_service, number);
  }
  void Apply() {
    for (const admission_action& action : actions_) {
      request_record& record = requests.at(action.request.value());
      if (action.kind == admission_action_kind::kAdmit) {
        Admit(action.request.value());
      } else {
        ++record.rejected;
        record.rejection = action.rejection;
        record.wait = now - record.offered;
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
