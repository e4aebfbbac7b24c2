#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <iostream>

#include "request_rate_fixture.h"

namespace marjoramsill {

using std::chrono::milliseconds;

/// Entry processes in front of endpoints of which some turn cold, in a pool
/// that limits requests to cold endpoints.
class cold_endpoint_test : public request_rate_fixture {
  CPPUNIT_TEST_SUITE(cold_endpoint_test);
  CPPUNIT_TEST(endpoint_that_turns_cold_by_itself_gets_no_more_than_it_takes);
  CPPUNIT_TEST(cold_endpoints_while_processes_restart_get_no_more);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 33'500;
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

  void SetCold() {
    for (std::size_t i = 0; i < kBounded; ++i) {
      fleet_->endpoints()[i]->SetColdFor(kColdTime);
    }
  }

  void CheckBound(clock_time cold_at) const {
    const std::size_t most = MostInWindow(kWindow, cold_at + kSpreadTime);
    std::cout << " most in a second " << most << std::endl;
    CPPUNIT_ASSERT(static_cast<double>(most) <= kFactor * kRate + kAllowance);
    // Cold endpoints warm up under load.
    CPPUNIT_ASSERT(most > 0);
  }

 public:
  cold_endpoint_test() : request_rate_fixture(kInterval, 20261207) {}

  void setUp() override {
    soak::soak_settings settings = Settings(kPort);
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
    PlayRestarts();
    CheckBound(cold_at);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cold_endpoint_test);

}  // namespace marjoramsill
