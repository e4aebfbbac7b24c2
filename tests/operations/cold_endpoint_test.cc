#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iostream>
#include <memory>
#include <random>
#include <string>

#include "fleet_fixture.h"

namespace marjoramsill {

using std::chrono::milliseconds;
using clock_time = std::chrono::steady_clock::time_point;

/// Entry processes in front of endpoints of which some turn cold, in a pool
/// that limits requests to cold endpoints.
class cold_endpoint_test : public fleet_fixture {
  CPPUNIT_TEST_SUITE(cold_endpoint_test);
  CPPUNIT_TEST(endpoint_that_turns_cold_by_itself_gets_no_more_than_it_takes);
  CPPUNIT_TEST(cold_endpoints_while_processes_restart_get_no_more);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 33'500;
  static constexpr std::size_t kEntries = 6;
  static constexpr std::size_t kEndpoints = 4;
  static constexpr std::size_t kCold = 2;
  static constexpr double kRate = 4;
  static constexpr milliseconds kColdTime{20'000};
  static constexpr milliseconds kInterval{12};
  /// The rule: in any second at most this share of the rate, and 5 requests. It
  /// is checked from this time after the endpoint turned cold, which the change
  /// takes from the endpoint to all entry processes on a busy machine.
  static constexpr double kFactor = 1.5;
  static constexpr double kAllowance = 5;
  static constexpr milliseconds kSpreadTime{1'500};
  static constexpr milliseconds kWindow{1'000};

  struct counts {
    int sent = 0;
    int served = 0;
  };

  std::mt19937_64 random_{20261207};
  int number_ = 0;

  counts Play(milliseconds duration) {
    const auto played = std::make_shared<counts>();
    const auto start = std::chrono::steady_clock::now();
    auto next = start;
    RunUntil([&] {
      const auto now = std::chrono::steady_clock::now();
      if (now >= next) {
        ++played->sent;
        Send(random_() % kEntries, "/look/", "c" + std::to_string(++number_),
             {}, [played](int status) { played->served += status == 200; });
        next += kInterval;
      }
      return now - start >= duration;
    });
    RunFor(milliseconds(300));
    return *played;
  }

  void SetCold() {
    for (std::size_t i = 0; i < kCold; ++i) {
      fleet_->endpoints()[i]->SetColdFor(kColdTime);
    }
  }

  /// Most requests that a cold endpoint got in a second after `from`.
  std::size_t MostInWindow(clock_time from) const {
    std::size_t most = 0;
    for (std::size_t i = 0; i < kCold; ++i) {
      const auto& arrivals = fleet_->endpoints()[i]->arrivals();
      auto first = std::lower_bound(arrivals.begin(), arrivals.end(), from);
      for (auto last = first; last != arrivals.end(); ++last) {
        while (*last - *first > kWindow) ++first;
        most = std::max(most, static_cast<std::size_t>(last - first + 1));
      }
    }
    return most;
  }

  void CheckBound(clock_time cold_at) const {
    const std::size_t most = MostInWindow(cold_at + kSpreadTime);
    std::cout << " most in a second " << most << std::endl;
    CPPUNIT_ASSERT(static_cast<double>(most) <= kFactor * kRate + kAllowance);
    // Cold endpoints warm up under load.
    CPPUNIT_ASSERT(most > 0);
  }

  void Restart(soak::soak_node& node) {
    node.is_end_expected = true;
    fleet_->KillNode(node, false);
    RunFor(milliseconds(100));
    fleet_->StartNode(node);
  }

 public:
  void setUp() override {
    soak::soak_settings settings;
    settings.port = kPort;
    settings.entry_processes = kEntries;
    settings.endpoints = kEndpoints;
    settings.software = {"v1"};
    settings.cold_per_s = kRate;
    StartFleet(settings, MARJORAMSILL_BINARY, MARJORAMSILL_FOLDER);
    Play(milliseconds(1'000));
  }

  // Guards against entry VMs that do not get to know that an endpoint has
  // turned cold, or that each send what it takes from all together. The other
  // endpoints take what it does not.
  void endpoint_that_turns_cold_by_itself_gets_no_more_than_it_takes() {
    SetCold();
    const auto cold_at = std::chrono::steady_clock::now();
    const counts played = Play(milliseconds(8'000));
    CheckBound(cold_at);
    CPPUNIT_ASSERT_EQUAL(played.sent, played.served);
  }

  // Guards against entry VMs that take the whole rate for their own part while
  // the others are not known to them yet, and against control processes that
  // have just started and do not know that an endpoint is cold.
  void cold_endpoints_while_processes_restart_get_no_more() {
    SetCold();
    const auto cold_at = std::chrono::steady_clock::now();
    Play(milliseconds(2'000));
    for (std::size_t i = 0; i < 3; ++i) {
      Restart(*fleet_->ControlNodes()[i]);
      Restart(*fleet_->EntryNodes()[i]);
      Play(milliseconds(2'000));
    }
    CheckBound(cold_at);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cold_endpoint_test);

}  // namespace marjoramsill
