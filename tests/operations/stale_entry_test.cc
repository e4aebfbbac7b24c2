#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/ip/address.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <cstddef>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "fleet_fixture.h"
#include "platform/field_names.h"

namespace marjoramsill {

using std::chrono::milliseconds;

/// Streams that are taken up again at an entry process which does not know yet
/// that endpoints of other software have joined.
class stale_entry_test : public fleet_fixture {
  CPPUNIT_TEST_SUITE(stale_entry_test);
  CPPUNIT_TEST(stream_is_not_joined_by_an_entry_that_was_suspended);
  CPPUNIT_TEST(stream_is_not_joined_by_an_entry_without_control_processes);
  CPPUNIT_TEST(stream_goes_on_while_one_control_process_is_down);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 28'000;
  static constexpr std::size_t kEndpoints = 4;
  static constexpr int kStreams = 8;
  static constexpr milliseconds kRouteTimeout{2'500};
  /// Shorter than the time for which a document counts as current.
  static constexpr milliseconds kPause{300};
  /// The first entry process has reported the streams by then.
  static constexpr milliseconds kReportTime{1'000};
  static constexpr const char* kNewSoftware = "v1.1";
  /// Endpoints that join later, in the failure domain of the first entry
  /// process, which prefers them.
  static constexpr std::array<std::size_t, 2> kJoining{0, 3};

  /// A connection of a caller to the second entry process.
  struct open_caller {
    explicit open_caller(asio::io_context& io) : socket(io) {}
    asio::ip::tcp::socket socket;
    std::string response;
    bool has_ended = false;
  };

  std::vector<std::unique_ptr<open_caller>> callers_;

  void Connect() {
    const soak::soak_node& entry = *fleet_->EntryNodes()[1];
    for (int i = 0; i < kStreams; ++i) {
      callers_.push_back(std::make_unique<open_caller>(io_));
      callers_.back()->socket.connect(
          {asio::ip::make_address(entry.callers.ip), entry.callers.port});
    }
    RunFor(milliseconds(50));
  }

  /// Writes a request on each connection that takes up a stream, and begins to
  /// read the response.
  void SendTakeUps() {
    for (int i = 0; i < kStreams; ++i) {
      open_caller* caller = callers_[static_cast<std::size_t>(i)].get();
      const std::string stream = "s" + std::to_string(i);
      asio::write(
          caller->socket,
          asio::buffer("POST /chat/" + stream + " HTTP/1.0\r\n" +
                       "Host: soak.example\r\nContent-Length: 0\r\n" +
                       platform::kRequestId + ": again-" + stream + "\r\n" +
                       platform::kRemainingMs + ": 2500\r\n" +
                       platform::kResumedRequest + ": " + stream + "\r\n" +
                       platform::kLastEventId + ": 2\r\n\r\n"));
      asio::async_read(caller->socket, asio::dynamic_buffer(caller->response),
                       [caller](std::error_code /*error*/, std::size_t) {
                         caller->has_ended = true;
                       });
    }
  }

  int CountResumed() {
    int resumed = 0;
    for (const auto& caller : callers_) {
      CPPUNIT_ASSERT(RunUntil([&caller] { return caller->has_ended; }));
      resumed += caller->response.starts_with("HTTP/1.1 200");
    }
    const std::string found =
        ledger_.violations().empty() ? "" : ledger_.violations().front();
    std::cout << " resumed " << resumed << " of " << kStreams << std::endl;
    CPPUNIT_ASSERT_EQUAL(std::string(), found);
    return resumed;
  }

  /// Endpoints join under new ids, and streams begin at them through the first
  /// entry process.
  void JoinWithNewSoftware() {
    for (const std::size_t i : kJoining) {
      fleet_->endpoints()[i]->StartRenewed();
    }
    const auto& joined = fleet_->endpoints()[kJoining[0]];
    const std::size_t before = joined->arrivals().size();
    CPPUNIT_ASSERT(RunUntil([&] {
      Status(0, "/look/", "found" + std::to_string(++number_));
      return joined->arrivals().size() > before;
    }));
  }

  void BeginStreams() {
    int ended = 0;
    for (int i = 0; i < kStreams; ++i) {
      Send(0, "/chat/", "s" + std::to_string(i), {},
           [&ended](int /*status*/) { ++ended; });
    }
    CPPUNIT_ASSERT(RunUntil([&ended] { return ended == kStreams; }));
    RunFor(kReportTime);
  }

  int number_ = 0;

 public:
  void setUp() override {
    soak::soak_settings settings;
    settings.port = kPort;
    settings.entry_processes = 2;
    settings.endpoints = kEndpoints;
    settings.software = {"v1"};
    StartFleet(settings, MARJORAMSILL_BINARY, MARJORAMSILL_FOLDER);
    for (const std::size_t i : kJoining) {
      fleet_->endpoints()[i]->Crash();
      fleet_->endpoints()[i]->SetSoftware(kNewSoftware);
    }
    // The entry processes have known the only version for as long as a stream
    // can last.
    RunFor(kRouteTimeout + milliseconds(500));
  }

  void tearDown() override {
    callers_.clear();
    fleet_fixture::tearDown();
  }

  // Guards against an entry process that goes by the only version that it knew
  // before it was suspended.
  void stream_is_not_joined_by_an_entry_that_was_suspended() {
    Connect();
    soak::soak_node& entry = *fleet_->EntryNodes()[1];
    fleet_->PauseNode(entry);
    RunFor(kPause);
    JoinWithNewSoftware();
    BeginStreams();
    SendTakeUps();
    fleet_->ResumeNode(entry);
    CPPUNIT_ASSERT_EQUAL(kStreams, CountResumed());
  }

  // Guards against an entry process that uses its last records without control
  // processes, for as long as its document counts as current.
  void stream_is_not_joined_by_an_entry_without_control_processes() {
    Connect();
    soak::soak_node& entry = *fleet_->EntryNodes()[1];
    fleet_->PauseNode(entry);
    RunFor(kPause);
    JoinWithNewSoftware();
    BeginStreams();
    SendTakeUps();
    for (soak::soak_node* control : fleet_->ControlNodes()) {
      fleet_->PauseNode(*control);
    }
    fleet_->ResumeNode(entry);
    CountResumed();
  }

  // Guards against streams that are lost because a single control process
  // cannot confirm the records.
  void stream_goes_on_while_one_control_process_is_down() {
    soak::soak_node& control = *fleet_->ControlNodes()[0];
    control.is_end_expected = true;
    fleet_->KillNode(control, false);
    RunFor(milliseconds(300));
    BeginStreams();
    Connect();
    SendTakeUps();
    CPPUNIT_ASSERT_EQUAL(kStreams, CountResumed());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stale_entry_test);

}  // namespace marjoramsill
