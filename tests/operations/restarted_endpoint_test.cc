#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <iostream>
#include <string>

#include "fleet_fixture.h"
#include "platform/field_names.h"

namespace marjoramsill {

using std::chrono::milliseconds;

/// Streams that are taken up while an endpoint starts again with other
/// software, and the first control process that it calls does not answer.
class restarted_endpoint_test : public fleet_fixture {
  CPPUNIT_TEST_SUITE(restarted_endpoint_test);
  CPPUNIT_TEST(stream_is_not_joined_by_an_endpoint_that_is_not_announced_yet);
  CPPUNIT_TEST(stream_goes_on_at_an_endpoint_that_is_announced);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 29'300;
  static constexpr int kStreams = 12;
  static constexpr const char* kOldSoftware = "v1";
  static constexpr const char* kNewSoftware = "v1.1";
  /// Longer than an entry process distrusts an endpoint whose connections it
  /// has lost, and shorter than the time after which the endpoint counts as
  /// silent.
  static constexpr milliseconds kDownTime{2'600};
  static constexpr milliseconds kSharingTime{1'200};

  void BeginStreams() {
    for (int i = 0; i < kStreams; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, Status(0, "/chat/", "s" + std::to_string(i)));
    }
  }

  int ResumeStreams() {
    int ended = 0;
    int resumed = 0;
    for (int i = 0; i < kStreams; ++i) {
      const std::string stream = "s" + std::to_string(i);
      Send(1, "/chat/", "again-" + stream,
           {{platform::kResumedRequest, stream}, {platform::kLastEventId, "2"}},
           [&ended, &resumed](int status) {
             ++ended;
             resumed += status == 200;
           });
    }
    CPPUNIT_ASSERT(RunUntil([&ended] { return ended == kStreams; }));
    std::cout << " resumed " << resumed << " of " << kStreams << std::endl;
    const std::string found =
        ledger_.violations().empty() ? "" : ledger_.violations().front();
    CPPUNIT_ASSERT_EQUAL(std::string(), found);
    return resumed;
  }

 public:
  void setUp() override {
    soak::soak_settings settings;
    settings.port = kPort;
    settings.entry_processes = 2;
    settings.endpoints = 3;
    settings.software = {kOldSoftware};
    StartFleet(settings, MARJORAMSILL_BINARY, MARJORAMSILL_FOLDER);
  }

  // Guards against a stream that goes on at the process that replaced the one
  // which the record still names.
  void stream_is_not_joined_by_an_endpoint_that_is_not_announced_yet() {
    soak::fake_endpoint& restarted = *fleet_->endpoints()[0];
    restarted.Crash();
    RunFor(kDownTime - kSharingTime);
    BeginStreams();
    RunFor(kSharingTime);
    fleet_->endpoints()[1]->Crash();
    fleet_->endpoints()[2]->Crash();
    soak::soak_node& control = *fleet_->ControlNodes()[0];
    fleet_->PauseNode(control);
    restarted.SetSoftware(kNewSoftware);
    restarted.SetNextControl(control.control);
    restarted.Start();
    RunFor(milliseconds(100));
    ResumeStreams();
    fleet_->ResumeNode(control);
  }

  // Guards against streams that are refused at an endpoint of their software
  // while no connection to it is open yet.
  void stream_goes_on_at_an_endpoint_that_is_announced() {
    BeginStreams();
    RunFor(kSharingTime);
    CPPUNIT_ASSERT_EQUAL(kStreams, ResumeStreams());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(restarted_endpoint_test);

}  // namespace marjoramsill
