#include "schedulers.h"

#include <array>
#include <deque>
#include <map>
#include <random>
#include <unordered_map>

#include "process/admission/admission_queue.h"

namespace marjoramsill {
namespace {

class admission_scheduler : public scheduler {
 public:
  admission_scheduler(const admission_capacity& capacity, std::uint64_t seed)
      : queue_({}, std::mt19937_64(seed)) {
    queue_.SetCapacity(capacity, steady_time(), actions_);
  }
  void Offer(const admission_offer& offer, steady_time now,
             std::vector<decision>& decisions) override {
    const std::uint64_t number = offer.request.value();
    const offer_result result = queue_.Offer(offer, now);
    if (result.has_failure()) {
      decisions.push_back({number, false});
    } else if (result.value().state == offer_state::kAdmitted) {
      running_[number] = {result.value().ticket, offer.cost};
      decisions.push_back({number, true});
    } else {
      costs_[number] = offer.cost;
    }
  }
  void Finish(std::uint64_t request, steady_time now,
              std::vector<decision>& decisions) override {
    const auto it = running_.find(request);
    queue_.Finish(it->second.first, it->second.second, now, actions_);
    running_.erase(it);
    Apply(decisions);
  }
  void Tick(steady_time now, std::vector<decision>& decisions) override {
    queue_.Tick(now, actions_);
    Apply(decisions);
  }

 private:
  void Apply(std::vector<decision>& decisions) {
    for (const admission_action& action : actions_) {
      const std::uint64_t number = action.request.value();
      const bool admitted = action.kind == admission_action_kind::kAdmit;
      if (admitted) running_[number] = {action.ticket, costs_.at(number)};
      costs_.erase(number);
      decisions.push_back({number, admitted});
    }
    actions_.clear();
  }

  admission_queue queue_;
  admission_actions actions_;
  std::unordered_map<std::uint64_t, std::pair<admission_ticket, cost_units>>
      running_;
  std::unordered_map<std::uint64_t, cost_units> costs_;
};

/// Service order of one rank's queue.
class baseline_order {
 public:
  virtual ~baseline_order() = default;
  virtual void Push(const admission_offer& offer) = 0;
  virtual admission_offer Pop() = 0;
  std::size_t size = 0;
};

class fifo_order : public baseline_order {
 public:
  void Push(const admission_offer& offer) override { queue_.push_back(offer); }
  admission_offer Pop() override {
    admission_offer first = queue_.front();
    queue_.pop_front();
    return first;
  }

 private:
  std::deque<admission_offer> queue_;
};

class shortest_order : public baseline_order {
 public:
  void Push(const admission_offer& offer) override {
    queue_.emplace(offer.cost.value(), offer);
  }
  admission_offer Pop() override {
    admission_offer first = queue_.begin()->second;
    queue_.erase(queue_.begin());
    return first;
  }

 private:
  std::multimap<std::uint64_t, admission_offer> queue_;
};

/// Deficit round robin between workspaces; a quantum of 0 means plain round
/// robin, one request per turn.
class round_robin_order : public baseline_order {
 public:
  explicit round_robin_order(double quantum) : quantum_(quantum) {}
  void Push(const admission_offer& offer) override {
    flow& entry = flows_[offer.workspace.value()];
    if (entry.queue.empty()) order_.push_back(offer.workspace.value());
    entry.queue.push_back(offer);
  }
  admission_offer Pop() override {
    while (true) {
      flow& entry = flows_.at(order_.front());
      const auto cost = static_cast<double>(entry.queue.front().cost.value());
      if (quantum_ > 0 && entry.deficit < cost) {
        entry.deficit += quantum_;
        order_.push_back(order_.front());
        order_.pop_front();
        continue;
      }
      admission_offer first = entry.queue.front();
      entry.queue.pop_front();
      const std::uint64_t workspace = order_.front();
      if (quantum_ > 0) {
        entry.deficit -= cost;
      } else {
        order_.pop_front();
        if (!entry.queue.empty()) order_.push_back(workspace);
        return first;
      }
      if (entry.queue.empty()) {
        entry.deficit = 0;
        order_.pop_front();
      }
      return first;
    }
  }

 private:
  struct flow {
    std::deque<admission_offer> queue;
    double deficit = 0;
  };
  double quantum_;
  std::map<std::uint64_t, flow> flows_;
  std::deque<std::uint64_t> order_;
};

std::unique_ptr<baseline_order> MakeOrder(const std::string& name) {
  constexpr double kMeanCost = 500;
  if (name == "round_robin") return std::make_unique<round_robin_order>(0);
  if (name == "deficit_round_robin") {
    return std::make_unique<round_robin_order>(kMeanCost);
  }
  if (name == "shortest_first") return std::make_unique<shortest_order>();
  return std::make_unique<fifo_order>();
}

class baseline_scheduler : public scheduler {
 public:
  baseline_scheduler(const std::string& name,
                     const admission_capacity& capacity)
      : by_rank_(name != "fifo"), capacity_(capacity) {
    for (auto& order : ranks_) order = MakeOrder(name);
  }
  void Offer(const admission_offer& offer, steady_time now,
             std::vector<decision>& decisions) override {
    const std::size_t index =
        by_rank_ ? static_cast<std::size_t>(offer.rank) : 0;
    constexpr std::size_t kMaxQueued = 65536;
    if (ranks_.at(index)->size >= kMaxQueued) {
      decisions.push_back({offer.request.value(), false});
      return;
    }
    ranks_.at(index)->Push(offer);
    ++ranks_.at(index)->size;
    AdmitQueued(now, decisions);
  }
  void Finish(std::uint64_t /*request*/, steady_time now,
              std::vector<decision>& decisions) override {
    --running_;
    AdmitQueued(now, decisions);
  }
  void Tick(steady_time /*now*/, std::vector<decision>& /*to*/) override {}

 private:
  void AdmitQueued(steady_time now, std::vector<decision>& decisions) {
    for (auto& order : ranks_) {
      while (order->size > 0 && running_ < capacity_.concurrency) {
        const admission_offer next = order->Pop();
        --order->size;
        const bool in_time = now + next.expected_service <= next.deadline;
        running_ += in_time ? 1 : 0;
        decisions.push_back({next.request.value(), in_time});
      }
    }
  }

  bool by_rank_;
  admission_capacity capacity_;
  std::uint32_t running_ = 0;
  std::array<std::unique_ptr<baseline_order>, kRankCount> ranks_;
};

}  // namespace

std::unique_ptr<scheduler> MakeScheduler(const std::string& name,
                                         const admission_capacity& capacity,
                                         std::uint64_t seed) {
  if (name == "admission_queue") {
    return std::make_unique<admission_scheduler>(capacity, seed);
  }
  return std::make_unique<baseline_scheduler>(name, capacity);
}

}  // namespace marjoramsill
