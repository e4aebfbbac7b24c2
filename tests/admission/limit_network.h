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

/// Several VMs with limits of one workspace in virtual time, connected by a
/// network with a fixed latency whose directions can be cut one by one.
class limit_network {
 public:
  struct outcome {
    steady_time at;
    std::size_t vm;
    double cost;
    bool accepted;
    std::chrono::microseconds wait;
  };

  limit_network(std::size_t vms, const limit_settings& settings)
      : settings_(settings), lives_(vms, 1), running(vms), bytes(vms) {
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
  /// A new process: its requests are gone and its state is empty.
  void Restart(std::size_t vm) {
    vms_[vm] = std::make_unique<workspace_limits>(
        settings_, Name(vm), incarnation(lives_[vm]++), now);
    std::vector<vm_id> fleet;
    for (std::size_t i = 0; i < vms_.size(); ++i) fleet.push_back(Name(i));
    vms_[vm]->SetFleet(fleet, now);
    vms_[vm]->SetLimit(workspace, limit_, now);
    running[vm].clear();
    lost += std::erase_if(
        waiting_, [vm](const auto& item) { return item.second.vm == vm; });
  }
  void Offer(std::size_t vm, double cost, std::chrono::milliseconds lasts) {
    const request_handle request(next_request_++);
    const waiting_request of{vm, cost, lasts, now};
    limit_actions actions;
    const auto decision = vms_[vm]->Offer(
        workspace, request, cost_units(static_cast<std::uint64_t>(cost)), now,
        actions);
    if (decision == limit_decision::kWaiting) {
      waiting_.emplace(request.value(), of);
    } else {
      Decide(of, decision == limit_decision::kAccepted);
    }
    Apply(vm, actions);
  }
  void RunFor(std::chrono::milliseconds time) {
    const steady_time until = now + time;
    while (true) {
      steady_time next = std::min(until, next_tick_);
      if (!in_flight_.empty()) next = std::min(next, in_flight_.begin()->first);
      now = std::max(now, next);
      End();
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
    for (const auto& of : running) sum += of.size();
    return sum;
  }
  /// Cost accepted since the time given, on all VMs.
  double AcceptedSince(steady_time since) const {
    double sum = 0;
    for (const outcome& of : outcomes) {
      if (of.accepted && of.at >= since) sum += of.cost;
    }
    return sum;
  }
  std::size_t RefusedSince(steady_time since) const {
    std::size_t sum = 0;
    for (const outcome& of : outcomes) {
      if (!of.accepted && of.at >= since) ++sum;
    }
    return sum;
  }
  std::uint64_t Bytes() const {
    std::uint64_t sum = 0;
    for (const std::uint64_t of : bytes) sum += of;
    return sum;
  }

 private:
  struct waiting_request {
    std::size_t vm;
    double cost;
    std::chrono::milliseconds lasts;
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
  /// Directions (from, to) that lose every message.
  std::set<std::pair<std::size_t, std::size_t>> cut;
  std::vector<outcome> outcomes;
  std::size_t most_running = 0;
  /// Requests that waited in a process that restarted.
  std::size_t lost = 0;

 private:
  vm_id Name(std::size_t vm) const { return vm_id(std::to_string(vm)); }
  void Decide(const waiting_request& of, bool accepted) {
    outcomes.push_back({now, of.vm, of.cost, accepted, now - of.offered});
    if (accepted) running[of.vm].emplace(now + of.lasts, of.cost);
    most_running = std::max(most_running, Running());
  }
  void End() {
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
      const auto at = waiting_.find(action.request.value());
      Decide(at->second, action.accepted);
      waiting_.erase(at);
    }
    for (const limit_send& send : actions.send) {
      const std::size_t to = std::stoul(send.to.value());
      std::string encoded = EncodeLimitMessages({send.message});
      bytes[vm] += encoded.size();
      if (cut.count({vm, to}) > 0) continue;
      in_flight_.emplace(now + std::chrono::microseconds(500),
                         packet{vm, to, std::move(encoded)});
    }
  }
  void DeliverFirst() {
    const packet of = std::move(in_flight_.begin()->second);
    in_flight_.erase(in_flight_.begin());
    const auto messages = DecodeLimitMessages(of.bytes);
    if (messages.has_failure()) {
      throw std::runtime_error("field " + messages.error().field);
    }
    for (const limit_message& message : messages.value()) {
      limit_actions actions;
      vms_[of.to]->Receive(Name(of.from), message, now, actions);
      Apply(of.to, actions);
    }
  }

  limit_settings settings_;
  workspace_limit limit_;
  std::vector<std::uint64_t> lives_;
  std::vector<std::unique_ptr<workspace_limits>> vms_;
  std::map<std::uint64_t, waiting_request> waiting_;
  std::multimap<steady_time, packet> in_flight_;
  steady_time next_tick_ = now;
  std::uint64_t next_request_ = 0;

 public:
  /// End and cost of the requests that run, by VM.
  std::vector<std::multimap<steady_time, double>> running;
  std::vector<std::uint64_t> bytes;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_ADMISSION_LIMIT_NETWORK_H_
