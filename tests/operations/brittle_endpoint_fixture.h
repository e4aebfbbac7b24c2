#ifndef MARJORAMSILL_TESTS_OPERATIONS_BRITTLE_ENDPOINT_FIXTURE_H_
#define MARJORAMSILL_TESTS_OPERATIONS_BRITTLE_ENDPOINT_FIXTURE_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iostream>
#include <memory>
#include <optional>
#include <string>

#include "load_bound_fixture.h"

namespace marjoramsill {

/// Entry processes in front of endpoints that end when they have to refuse some
/// requests in a second for want of room.
class brittle_endpoint_fixture : public load_bound_fixture {
 protected:
  int slots() const override { return kSlots; }

  using microseconds = std::chrono::microseconds;

  static constexpr int kSlots = 4;
  /// Refusals in one second that an endpoint survives.
  static constexpr int kRefusals = 1;
  // The users' rule: in one such time, no more than 2 and a tenth of the
  // endpoints end.
  static constexpr double kFallAllowance = 2;
  static constexpr double kFallShare = 0.1;
  /// Of all requests, those that may be refused while endpoints have room for
  /// two more: load reports lag.
  static constexpr double kMaxRefusedWithRoom = 0.03;

  int RefusedWithRoom(const counts& played) const {
    return played.refused - refused_without_room_;
  }

  void SetBrittle(std::size_t count, std::optional<int> refusals) {
    for (std::size_t i = 0; i < count; ++i) {
      fleet_->endpoints()[i]->SetBrittle(refusals);
    }
  }

  /// An endpoint has two free slots.
  bool HasFreeSlots() const {
    const auto& endpoints = fleet_->endpoints();
    return std::any_of(
        endpoints.begin(), endpoints.end(), [](const auto& each) {
          return each->is_running() && each->held_count() + 2 <= each->slots();
        });
  }

  /// As Play(), and counts refusals while no endpoint has two free slots.
  counts PlayWithSlots(milliseconds duration, microseconds interval) {
    const auto played = std::make_shared<counts>();
    const auto start = clock_type::now();
    auto next = start;
    RunUntil([&] {
      const auto now = clock_type::now();
      while (now >= next) {
        ++played->sent;
        Send(random_() % kEntries, "/look/", "r" + std::to_string(++number_),
             {}, [this, played](int status) {
               played->served += status == 200;
               if (status == 200) return;
               // Requests that a killed VM held, or would have got.
               if (status == 0 && restarts_entries_) return;
               ++played->refused;
               refused_without_room_ += !HasFreeSlots();
             });
        next += interval;
      }
      return now - start >= duration;
    });
    RunFor(milliseconds(600));
    return *played;
  }

  /// Plays the load and checks that few endpoints end.
  counts CheckEnds(std::size_t brittle, microseconds interval = kBusyInterval) {
    Play(kContactTime, kBusyInterval);
    refused_without_room_ = 0;
    const counts played = PlayWithSlots(milliseconds(8'000), interval);
    int falls = 0;
    int refusals = 0;
    for (const auto& each : fleet_->endpoints()) {
      falls += each->fall_count();
      refusals += each->refusal_count();
    }
    std::cout << " sent " << played.sent << " served " << played.served
              << " not served with room " << RefusedWithRoom(played)
              << ", refused by endpoints " << refusals << ", ends " << falls
              << std::endl;
    CPPUNIT_ASSERT(falls <=
                   kFallAllowance + kFallShare * static_cast<double>(brittle));
    return played;
  }

  /// As CheckEnds(), and checks that few requests are refused while there is
  /// room.
  void CheckFalls(std::size_t brittle, microseconds interval = kBusyInterval) {
    const counts played = CheckEnds(brittle, interval);
    CPPUNIT_ASSERT(RefusedWithRoom(played) <=
                   kMaxRefusedWithRoom * played.sent);
  }

  void RestartEntry(std::size_t number) {
    restarts_entries_ = true;
    Restart(*fleet_->EntryNodes()[number]);
  }

  void Restart(soak::soak_node& node) {
    node.is_end_expected = true;
    fleet_->KillNode(node, false);
    RunAfter(milliseconds(300), [this, &node] { fleet_->StartNode(node); });
  }

  bool restarts_entries_ = false;

 private:
  int refused_without_room_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_OPERATIONS_BRITTLE_ENDPOINT_FIXTURE_H_
