#ifndef MARJORAMSILL_TESTS_ADMISSION_LIMIT_NETWORK_H_
#define MARJORAMSILL_TESTS_ADMISSION_LIMIT_NETWORK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "process/admission/limit_codec.h"
#include "process/admission/workspace_limits.h"

namespace marjoramsill {

/// Simulates several VMs that share the limit of one workspace, in virtual
/// time. The simulated network has a fixed latency, and each direction between
/// two VMs can be blocked separately.
class limit_network {
 public:
  /// Decision on an offered request.
  struct outcome {
    steady_time at;
    std::size_t vm;
    double cost;
    bool accepted;
    std::chrono::microseconds wait;
  };

  limit_network(std::size_t vms, const limit_settings& settings)
      : settings_(settings), incarnations_(vms, 1), running(vms), bytes(vms) {
    for (std::size_t i = 0; i < vms; ++i) vms_.push_back(nullptr);
    for (std::size_t i = 0; i < vms; ++i) Restart(i);
  }

  void SetLimit(const workspace_limit& limit) {
    limit_ = limit;
    for (auto& vm : vms_) vm->SetLimit(workspace, limit, now);
  }
  void SetLimitAt(std::size_t vm, const workspace_limit& limit) {
    vms_.at(vm)->SetLimit(workspace, limit, now);
  }
  /// Replaces the VM's process by a new one without requests or state.
  void Restart(std::size_t vm) {
    vms_[vm] = std::make_unique<workspace_limits>(
        settings_, VmId(vm), incarnation_number(incarnations_[vm]++), now);
    std::vector<vm_id> fleet;
    for (std::size_t i = 0; i < vms_.size(); ++i) fleet.push_back(VmId(i));
    vms_[vm]->SetFleet(fleet, now);
    vms_[vm]->SetLimit(workspace, limit_, now);
    running[vm].clear();
    lost += std::erase_if(
        waiting_, [vm](const auto& item) { return item.second.vm == vm; });
  }
  void Offer(std::size_t vm, double cost, std::chrono::milliseconds duration) {
    const request_handle request(next_request_++);
    const waiting_request waiting{vm, cost, duration, now};
    limit_actions actions;
    const auto decision = vms_[vm]->Offer(
        workspace, request, cost_units(static_cast<std::uint64_t>(cost)), now,
        actions);
    if (decision == limit_decision::kWaiting) {
      waiting_.emplace(request.value(), waiting);
    } else {
      Decide(waiting, decision == limit_decision::kAccepted);
    }
    Apply(vm, actions);
  }
  void RunFor(std::chrono::milliseconds time) {
    const steady_time until = now + time;
    while (true) {
      steady_time next = std::min(until, next_tick_);
      if (!in_flight_.empty()) next = std::min(next, in_flight_.begin()->first);
      now = std::max(now, next);
      FinishDue();
      if (!in_flight_.empty() && in_flight_.begin()->first <= now) {
        DeliverFirst();
      } else if (next_tick_ <= now) {
        next_tick_ += std::chrono::milliseconds(50);
        for (std::size_t i = 0; i < vms_.size(); ++i) {
          limit_actions actions;
          vms_[i]->Tick(now, actions);
          Apply(i, actions);
        }
      } else if (now >= until) {
        return;
      }
    }
  }
  std::size_t Running() const {
    std::size_t sum = 0;
    for (const auto& requests : running) sum += requests.size();
    return sum;
  }
  /// Cost accepted on all VMs since the given time.
  double AcceptedSince(steady_time since) const {
    double sum = 0;
    for (const outcome& result : outcomes) {
      if (result.accepted && result.at >= since) sum += result.cost;
    }
    return sum;
  }
  std::size_t RefusedSince(steady_time since) const {
    std::size_t sum = 0;
    for (const outcome& result : outcomes) {
      if (!result.accepted && result.at >= since) ++sum;
    }
    return sum;
  }
  std::uint64_t Bytes() const {
    std::uint64_t sum = 0;
    for (const std::uint64_t vm_bytes : bytes) sum += vm_bytes;
    return sum;
  }

 private:
  struct waiting_request {
    std::size_t vm;
    double cost;
    std::chrono::milliseconds duration;
    steady_time offered;
  };
  struct packet {
    std::size_t from;
    std::size_t to;
    std::string bytes;
  };

 public:
  const workspace_id workspace{"federation"};
  steady_time now{std::chrono::hours(1)};
  /// Pairs (from, to) of VMs between which every message is lost.
  std::set<std::pair<std::size_t, std::size_t>> blocked;
  std::vector<outcome> outcomes;
  std::size_t max_running = 0;
  /// Number of requests that were waiting in a process when it was restarted.
  std::size_t lost = 0;

 private:
  vm_id VmId(std::size_t vm) const { return vm_id(std::to_string(vm)); }
  void Decide(const waiting_request& item, bool accepted) {
    outcomes.push_back({now, item.vm, item.cost, accepted, now - item.offered});
    if (accepted) running[item.vm].emplace(now + item.duration, item.cost);
    max_running = std::max(max_running, Running());
  }
  void FinishDue() {
    for (std::size_t i = 0; i < running.size(); ++i) {
      while (!running[i].empty() && running[i].begin()->first <= now) {
        const cost_units cost(
            static_cast<std::uint64_t>(running[i].begin()->second));
        running[i].erase(running[i].begin());
        vms_[i]->Finish(workspace, cost, cost, now);
      }
    }
  }
  void Apply(std::size_t vm, const limit_actions& actions) {
    for (const limit_action& action : actions.decided) {
      const auto it = waiting_.find(action.request.value());
      Decide(it->second, action.accepted);
      waiting_.erase(it);
    }
    for (const outgoing_limit_message& send : actions.send) {
      const std::size_t to = std::stoul(send.to.value());
      std::string encoded = EncodeLimitMessages({send.message});
      bytes[vm] += encoded.size();
      if (blocked.count({vm, to}) > 0) continue;
      in_flight_.emplace(now + std::chrono::microseconds(500),
                         packet{vm, to, std::move(encoded)});
    }
  }
  void DeliverFirst() {
    const packet first = std::move(in_flight_.begin()->second);
    in_flight_.erase(in_flight_.begin());
    const auto messages = DecodeLimitMessages(first.bytes);
    if (messages.has_failure()) {
      throw std::runtime_error("invalid limit message: field " +
                               messages.error().field);
    }
    for (const limit_message& message : messages.value()) {
      limit_actions actions;
      vms_[first.to]->Receive(VmId(first.from), message, now, actions);
      Apply(first.to, actions);
    }
  }

  limit_settings settings_;
  workspace_limit limit_;
  std::vector<std::uint64_t> incarnations_;
  std::vector<std::unique_ptr<workspace_limits>> vms_;
  std::map<std::uint64_t, waiting_request> waiting_;
  std::multimap<steady_time, packet> in_flight_;
  steady_time next_tick_ = now;
  std::uint64_t next_request_ = 0;

 public:
  /// End time and cost of the running requests, by VM.
  std::vector<std::multimap<steady_time, double>> running;
  std::vector<std::uint64_t> bytes;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_ADMISSION_LIMIT_NETWORK_H_
