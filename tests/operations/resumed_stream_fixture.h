#ifndef MARJORAMSILL_TESTS_OPERATIONS_RESUMED_STREAM_FIXTURE_H_
#define MARJORAMSILL_TESTS_OPERATIONS_RESUMED_STREAM_FIXTURE_H_

#include <chrono>
#include <iostream>
#include <string>

#include "fleet_fixture.h"
#include "platform/field_names.h"

namespace marjoramsill {

/// Two entry processes in front of three endpoints. Streams begin through the
/// first one and are taken up through the second one.
class resumed_stream_fixture : public fleet_fixture {
 protected:
  static constexpr int kStreams = 12;
  static constexpr const char* kOldSoftware = "v1";
  static constexpr const char* kNewSoftware = "v1.1";
  /// Longer than an entry process distrusts an endpoint whose connections it
  /// has lost, and shorter than the time after which the endpoint counts as
  /// silent.
  static constexpr std::chrono::milliseconds kDownTime{2'600};
  /// Longer than an entry process holds back what it knows of its streams.
  static constexpr std::chrono::milliseconds kSharingTime{1'200};

  static soak::soak_settings Settings(std::uint16_t port) {
    soak::soak_settings settings;
    settings.port = port;
    settings.entry_processes = 2;
    settings.endpoints = 3;
    settings.software = {kOldSoftware};
    return settings;
  }

  void BeginStreams() {
    for (int i = 0; i < kStreams; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, Status(0, "/chat/", "s" + std::to_string(i)));
    }
  }

  /// Takes all streams up at the same time, and returns how many went on. None
  /// may go on at other software than its own.
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

  /// The endpoint starts again with the new software, and the control process
  /// that its first heartbeat goes to does not answer.
  void RestartUnannounced(soak::fake_endpoint& endpoint) {
    soak::soak_node& control = *fleet_->ControlNodes()[0];
    fleet_->PauseNode(control);
    endpoint.SetSoftware(kNewSoftware);
    endpoint.SetNextControl(control.control);
    endpoint.Start();
    RunFor(std::chrono::milliseconds(100));
  }
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_OPERATIONS_RESUMED_STREAM_FIXTURE_H_
