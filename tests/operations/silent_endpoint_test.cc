#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>

#include "fleet_fixture.h"

namespace marjoramsill {

using std::chrono::milliseconds;

/// A sound endpoint that sends nothing for a second or so and goes on.
class silent_endpoint_test : public fleet_fixture {
  CPPUNIT_TEST_SUITE(silent_endpoint_test);
  CPPUNIT_TEST(
      stream_of_endpoint_that_is_silent_for_a_second_is_not_broken_off);
  CPPUNIT_TEST(endpoint_that_was_silent_is_used_again_at_once);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 31'000;
  static constexpr milliseconds kSilence{1'200};

  soak::fake_endpoint* EndpointOf(const std::string& request) {
    for (const auto& each : fleet_->endpoints()) {
      if (each->IsStreaming(request)) return each.get();
    }
    return nullptr;
  }

  /// Sends a stream whose endpoint falls silent after its first event.
  int StatusThroughSilence(const std::string& path,
                           const std::string& request) {
    std::optional<int> status;
    Send(0, path, request, {}, [&status](int received) { status = received; });
    CPPUNIT_ASSERT(RunUntil([&] { return EndpointOf(request) != nullptr; }));
    soak::fake_endpoint& endpoint = *EndpointOf(request);
    RunFor(milliseconds(30));
    endpoint.SetSilent(true);
    RunFor(kSilence);
    endpoint.SetSilent(false);
    CPPUNIT_ASSERT(RunUntil([&] { return status.has_value(); }));
    return *status;
  }

 public:
  void setUp() override {
    soak::soak_settings settings;
    settings.port = kPort;
    settings.entry_processes = 1;
    settings.endpoints = 2;
    settings.software = {"v1"};
    StartFleet(settings, MARJORAMSILL_BINARY, MARJORAMSILL_FOLDER);
  }

  // Guards against a silence that is taken for the end of an endpoint.
  void stream_of_endpoint_that_is_silent_for_a_second_is_not_broken_off() {
    for (const std::string path : {"/chat/", "/once/"}) {
      const std::string request = "silent" + path.substr(1, 4);
      CPPUNIT_ASSERT_EQUAL(200, StatusThroughSilence(path, request));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 1, ledger_.CountRuns(request));
    }
  }

  void endpoint_that_was_silent_is_used_again_at_once() {
    StatusThroughSilence("/once/", "silent");
    soak::fake_endpoint& endpoint = *EndpointOf("silent");
    const std::size_t before = endpoint.arrivals().size();
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, Status(0, "/look/", "a" + std::to_string(i)));
    }
    CPPUNIT_ASSERT(endpoint.arrivals().size() > before + 3);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(silent_endpoint_test);

}  // namespace marjoramsill
