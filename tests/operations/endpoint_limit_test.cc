#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <iostream>
#include <optional>

#include "request_rate_fixture.h"

namespace marjoramsill {

using std::chrono::milliseconds;

/// Entry processes in front of endpoints of which some name the request rate
/// that they take from all of them together.
class endpoint_limit_test : public request_rate_fixture {
  CPPUNIT_TEST_SUITE(endpoint_limit_test);
  CPPUNIT_TEST(limited_endpoints_get_no_more_than_they_take_together);
  CPPUNIT_TEST(limited_endpoints_while_processes_restart_get_no_more);
  CPPUNIT_TEST(limit_that_is_no_longer_named_lets_the_load_return);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 26'000;
  static constexpr double kLimit = 4.5;
  static constexpr milliseconds kInterval{15};
  // The users' rule: from `contactMs` after the limit was first named, at most
  // 1.5 times what it allows and 5 requests in any 4 s.
  static constexpr milliseconds kContactTime{3'000};
  static constexpr milliseconds kWindow{4'000};
  static constexpr double kFactor = 1.5;
  static constexpr double kAllowance = 5;
  /// Of the load before the limit, some seconds after it was lifted.
  static constexpr double kReturnedShare = 0.7;

  void SetLimits(std::optional<double> per_second) {
    for (std::size_t i = 0; i < kBounded; ++i) {
      fleet_->endpoints()[i]->SetLimit(per_second);
    }
  }

  /// Plays traffic and returns the requests that limited endpoints got.
  std::size_t ArrivalsIn(milliseconds duration) {
    const auto count = [this] {
      std::size_t all = 0;
      for (std::size_t i = 0; i < kBounded; ++i) {
        all += fleet_->endpoints()[i]->arrivals().size();
      }
      return all;
    };
    const std::size_t before = count();
    Play(duration);
    return count() - before;
  }

  void CheckBound(clock_time limited_at) const {
    const std::size_t most = MostInWindow(kWindow, limited_at + kContactTime);
    const double window = std::chrono::duration<double>(kWindow).count();
    std::cout << " most in a window " << most << std::endl;
    CPPUNIT_ASSERT(static_cast<double>(most) <=
                   kFactor * kLimit * window + kAllowance);
  }

 public:
  endpoint_limit_test() : request_rate_fixture(kInterval, 20261204) {}

  void setUp() override {
    soak::soak_settings settings = Settings(kPort);
    StartFleet(settings, MARJORAMSILL_BINARY, MARJORAMSILL_FOLDER);
    Play(milliseconds(1'000));
  }

  // Guards against a limit that each entry VM keeps by itself, so that together
  // they exceed it.
  void limited_endpoints_get_no_more_than_they_take_together() {
    SetLimits(kLimit);
    const auto limited_at = std::chrono::steady_clock::now();
    const counts played = Play(milliseconds(9'000));
    CheckBound(limited_at);
    CPPUNIT_ASSERT_EQUAL(played.sent, played.served);
  }

  // Guards against entry VMs that take the whole limit for their own part while
  // the others are not known to them yet.
  void limited_endpoints_while_processes_restart_get_no_more() {
    SetLimits(kLimit);
    const auto limited_at = std::chrono::steady_clock::now();
    Play(milliseconds(3'000));
    PlayRestarts();
    CheckBound(limited_at);
  }

  void limit_that_is_no_longer_named_lets_the_load_return() {
    const std::size_t before = ArrivalsIn(milliseconds(3'000));
    SetLimits(kLimit);
    Play(milliseconds(4'000));
    SetLimits(std::nullopt);
    Play(milliseconds(6'000));
    const std::size_t after = ArrivalsIn(milliseconds(3'000));
    std::cout << " before " << before << ", after " << after << std::endl;
    CPPUNIT_ASSERT(static_cast<double>(after) >=
                   kReturnedShare * static_cast<double>(before));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_limit_test);

}  // namespace marjoramsill
