#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "fleet_fixture.h"
#include "http_call.h"
#include "raw_endpoint.h"

namespace marjoramsill {

using std::chrono::milliseconds;

/// An endpoint that has signed off, and a heartbeat of it that arrives late.
class signed_off_endpoint_test : public fleet_fixture {
  CPPUNIT_TEST_SUITE(signed_off_endpoint_test);
  CPPUNIT_TEST(
      late_heartbeat_after_all_control_processes_were_killed_is_ignored);
  CPPUNIT_TEST(late_heartbeat_after_all_processes_were_killed_is_ignored);
  CPPUNIT_TEST(endpoint_started_again_with_its_id_is_used);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 30'000;
  static constexpr std::size_t kEntries = 2;
  static constexpr milliseconds kCallTimeout{2'000};
  static constexpr milliseconds kDownTime{700};
  /// Every process has the records of the others by then.
  static constexpr milliseconds kContactTime{3'000};
  static constexpr int kLateSequence = 1'000;
  static constexpr int kRequests = 5;

  std::unique_ptr<raw_endpoint> endpoint_;
  int number_ = 0;

  int Call(std::size_t control, const std::string& method,
           const std::string& body) {
    std::optional<int> status;
    soak::Call(
        io_, fleet_->ControlNodes()[control]->control,
        soak::RequestText(method, "/instances/" + endpoint_->id(), {}, body),
        kCallTimeout,
        [&status](const std::optional<soak::http_response>& response) {
          status = response ? response->head.status : 0;
        });
    CPPUNIT_ASSERT(RunUntil([&status] { return status.has_value(); }));
    return *status;
  }

  int Ask(std::size_t entry) {
    return Status(entry, "/raw-ask/", "signed" + std::to_string(++number_));
  }

  void SignOff() {
    endpoint_->StopHeartbeats();
    CPPUNIT_ASSERT_EQUAL(200, Call(0, "DELETE", ""));
  }

  void Restart(std::size_t entries) {
    auto nodes = fleet_->ControlNodes();
    for (std::size_t i = 0; i < entries; ++i) {
      nodes.push_back(fleet_->EntryNodes()[i]);
    }
    for (soak::soak_node* node : nodes) {
      node->is_end_expected = true;
      fleet_->KillNode(*node, false);
    }
    RunFor(kDownTime);
    for (soak::soak_node* node : nodes) fleet_->StartNode(*node);
    // The control process that gets the heartbeat answers again.
    CPPUNIT_ASSERT(RunUntil([this] {
      return Call(1, "PUT", endpoint_->HeartbeatBody(kLateSequence)) == 200;
    }));
    RunFor(kContactTime);
  }

  /// Restarts all control processes and so many entry processes.
  void CheckRestart(std::size_t entries) {
    SignOff();
    Restart(entries);
    const int before = endpoint_->request_count();
    for (std::size_t entry = 0; entry < kEntries; ++entry) {
      for (int i = 0; i < kRequests; ++i) Ask(entry);
    }
    CPPUNIT_ASSERT_EQUAL(before, endpoint_->request_count());
  }

 public:
  void setUp() override {
    soak::soak_settings settings;
    settings.port = kPort;
    settings.entry_processes = kEntries;
    settings.endpoints = 1;
    StartFleet(settings, MARJORAMSILL_BINARY, MARJORAMSILL_FOLDER);
    endpoint_ = std::make_unique<raw_endpoint>(
        io_, socket_address{"127.0.2.9", kPort + 9},
        [this] { return fleet_->ControlNodes()[0]->control; });
    endpoint_->SetAnswer({"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", ""});
    for (std::size_t entry = 0; entry < kEntries; ++entry) {
      CPPUNIT_ASSERT(RunUntil([this, entry] { return Ask(entry) == 500; }));
    }
  }

  void tearDown() override {
    endpoint_.reset();
    fleet_fixture::tearDown();
  }

  // Guards against an endpoint that is in use again after it signed off,
  // because all who knew of that were killed.
  void late_heartbeat_after_all_control_processes_were_killed_is_ignored() {
    CheckRestart(1);
  }

  void late_heartbeat_after_all_processes_were_killed_is_ignored() {
    CheckRestart(kEntries);
  }

  // Guards against an id that is never in use again.
  void endpoint_started_again_with_its_id_is_used() {
    SignOff();
    Restart(kEntries);
    std::string body = endpoint_->HeartbeatBody(1);
    const std::string start = "1700000000000";
    body.replace(body.find(start), start.size(), "1700000009000");
    CPPUNIT_ASSERT_EQUAL(200, Call(2, "PUT", body));
    CPPUNIT_ASSERT(RunUntil([this] { return Ask(0) == 500; }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(signed_off_endpoint_test);

}  // namespace marjoramsill
