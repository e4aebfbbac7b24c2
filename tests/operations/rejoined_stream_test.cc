#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <iostream>
#include <string>
#include <vector>

#include "fleet_fixture.h"
#include "platform/field_names.h"

namespace marjoramsill {

using std::chrono::milliseconds;

/// Streams that are taken up again after all entry processes were killed, while
/// endpoints start again with other software.
class rejoined_stream_test : public fleet_fixture {
  CPPUNIT_TEST_SUITE(rejoined_stream_test);
  CPPUNIT_TEST(stream_is_not_joined_with_software_that_replaced_its_own);
  CPPUNIT_TEST(stream_is_not_joined_after_a_control_process_restarted_too);
  CPPUNIT_TEST(stream_is_not_joined_after_the_whole_fleet_restarted);
  CPPUNIT_TEST(stream_goes_on_at_endpoints_that_kept_its_software);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 19'000;
  static constexpr std::size_t kEntries = 3;
  static constexpr std::size_t kEndpoints = 4;
  static constexpr int kStreams = 8;
  /// Time limit of the route: control processes that have run for so long know
  /// all software that its streams can have.
  static constexpr milliseconds kRouteTimeout{6'000};
  static constexpr milliseconds kSharingTime{1'200};
  static constexpr milliseconds kDownTime{300};

  void BeginStreams() {
    for (int i = 0; i < kStreams; ++i) {
      CPPUNIT_ASSERT_EQUAL(200,
                           Status(0, "/long-chat/", "s" + std::to_string(i)));
    }
  }

  void Kill(const std::vector<soak::soak_node*>& nodes) {
    for (soak::soak_node* node : nodes) {
      node->is_end_expected = true;
      fleet_->KillNode(*node, false);
    }
  }

  void StartAll(const std::vector<soak::soak_node*>& nodes) {
    for (soak::soak_node* node : nodes) fleet_->StartNode(*node);
  }

  /// The first endpoints start again under their ids with other software.
  void ReplaceSoftware(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      const auto& endpoint = fleet_->endpoints()[i];
      endpoint->Crash();
      endpoint->SetSoftware("v1.1");
      endpoint->Start();
    }
  }

  void AwaitServing() {
    for (std::size_t entry = 0; entry < kEntries; ++entry) {
      CPPUNIT_ASSERT(RunUntil([&] {
        return Status(entry, "/look/", "up" + std::to_string(++number_)) == 200;
      }));
    }
  }

  /// Takes all streams up again and returns how many went on.
  int ResumeStreams() {
    int resumed = 0;
    for (int i = 0; i < kStreams; ++i) {
      const std::string stream = "s" + std::to_string(i);
      const int status = Status(
          1, "/long-chat/", "again-" + stream,
          {{platform::kResumedRequest, stream}, {platform::kLastEventId, "2"}});
      resumed += status == 200;
    }
    const std::string found =
        ledger_.violations().empty() ? "" : ledger_.violations().front();
    std::cout << " resumed " << resumed << " of " << kStreams << std::endl;
    CPPUNIT_ASSERT_EQUAL(std::string(), found);
    return resumed;
  }

  int number_ = 0;

 public:
  void setUp() override {
    soak::soak_settings settings;
    settings.port = kPort;
    settings.entry_processes = kEntries;
    settings.endpoints = kEndpoints;
    settings.software = {"v1"};
    StartFleet(settings, MARJORAMSILL_BINARY, MARJORAMSILL_FOLDER);
    RunFor(kRouteTimeout);
  }

  // Guards against a VM that has just started and takes the only version that
  // it sees for that of every stream.
  void stream_is_not_joined_with_software_that_replaced_its_own() {
    BeginStreams();
    Kill(fleet_->EntryNodes());
    ReplaceSoftware(kEndpoints);
    RunFor(kDownTime);
    StartAll(fleet_->EntryNodes());
    AwaitServing();
    CPPUNIT_ASSERT_EQUAL(0, ResumeStreams());
  }

  // Guards against a history that is shorter than the control process that
  // sends the records says.
  void stream_is_not_joined_after_a_control_process_restarted_too() {
    BeginStreams();
    std::vector<soak::soak_node*> killed = fleet_->EntryNodes();
    killed.push_back(fleet_->ControlNodes()[0]);
    Kill(killed);
    ReplaceSoftware(kEndpoints);
    RunFor(kDownTime);
    StartAll(killed);
    AwaitServing();
    CPPUNIT_ASSERT_EQUAL(0, ResumeStreams());
  }

  void stream_is_not_joined_after_the_whole_fleet_restarted() {
    BeginStreams();
    std::vector<soak::soak_node*> killed;
    for (const auto& node : fleet_->nodes()) killed.push_back(node.get());
    Kill(killed);
    ReplaceSoftware(kEndpoints);
    RunFor(kDownTime);
    StartAll(killed);
    AwaitServing();
    CPPUNIT_ASSERT_EQUAL(0, ResumeStreams());
  }

  // Guards against streams that are lost though endpoints of their software are
  // there.
  void stream_goes_on_at_endpoints_that_kept_its_software() {
    BeginStreams();
    RunFor(kSharingTime);
    Kill(fleet_->EntryNodes());
    ReplaceSoftware(kEndpoints / 2);
    RunFor(kDownTime);
    StartAll(fleet_->EntryNodes());
    AwaitServing();
    CPPUNIT_ASSERT_EQUAL(kStreams, ResumeStreams());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rejoined_stream_test);

}  // namespace marjoramsill
