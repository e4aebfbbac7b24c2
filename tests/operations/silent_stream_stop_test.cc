#include <cppunit/extensions/HelperMacros.h>

#include <asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet_fixture.h"
#include "http_call.h"
#include "platform/field_names.h"
#include "soak_text.h"

namespace marjoramsill {

using std::chrono::milliseconds;

/// Entry processes that get SIGTERM one after the other, in front of sound
/// endpoints whose streams are silent now and then, and which refuse requests
/// beyond their room.
class silent_stream_stop_test : public fleet_fixture {
  CPPUNIT_TEST_SUITE(silent_stream_stop_test);
  CPPUNIT_TEST(silent_streams_around_planned_stops_are_not_cut_off);
  CPPUNIT_TEST_SUITE_END();

  using time_point = std::chrono::steady_clock::time_point;

  static constexpr std::uint16_t kPort = 17'700;
  static constexpr int kCallers = 42;
  static constexpr milliseconds kSilence{2'400};
  static constexpr milliseconds kEventInterval{60};
  static constexpr int kTimeLimitMs = 6'000;
  /// An answer that ends this late was ended by its time limit.
  static constexpr milliseconds kLastEnd{5'900};
  static constexpr milliseconds kLoadTime{9'000};
  static constexpr milliseconds kFirstStop{2'000};
  static constexpr milliseconds kSecondStop{3'500};
  /// Time between two requests of a caller.
  static constexpr milliseconds kRequestDelay{20};

  time_point load_end_;
  int number_ = 0;
  int open_ = 0;
  int whole_ = 0;
  int refused_ = 0;
  std::vector<std::string> cut_;

  /// Sends requests one after the other until the end of the load.
  void Ask(std::size_t entry) {
    const time_point sent = std::chrono::steady_clock::now();
    if (sent >= load_end_) return;
    const std::string request = "silent" + std::to_string(++number_);
    ++open_;
    soak::Call(io_, fleet_->EntryNodes()[entry]->callers,
               soak::RequestText(
                   "POST", "/long-chat/" + request,
                   {{platform::kRequestId, request},
                    {platform::kRemainingMs, std::to_string(kTimeLimitMs)}},
                   ""),
               milliseconds(kTimeLimitMs) * 2,
               [this, entry, request, sent](const auto& response) {
                 --open_;
                 Record(request, response,
                        std::chrono::steady_clock::now() - sent);
                 // Callers use a process until it is gone.
                 AskAfter(kRequestDelay,
                          response ? entry : fleet_->EntryNodes().size() - 1);
               });
  }

  void AskAfter(milliseconds delay, std::size_t entry) {
    auto timer = std::make_shared<asio::steady_timer>(io_, delay);
    timer->async_wait([this, entry, timer](std::error_code) { Ask(entry); });
  }

  void Record(const std::string& request,
              const std::optional<soak::http_response>& response,
              std::chrono::nanoseconds took) {
    if (!response) {
      if (took < kLastEnd && IsRun(request)) cut_.push_back(request);
    } else if (response->head.status != 200) {
      ++refused_;
    } else {
      CPPUNIT_ASSERT_EQUAL(soak::StreamBody(request), response->body);
      ++whole_;
    }
  }

  /// A request that no endpoint has run crossed the close of its connection.
  bool IsRun(const std::string& request) const {
    return ledger_.HasRun(request);
  }

  void StopAfter(milliseconds delay, std::size_t entry) {
    auto timer = std::make_shared<asio::steady_timer>(io_, delay);
    timer->async_wait([this, entry, timer](std::error_code) {
      soak::soak_node& node = *fleet_->EntryNodes()[entry];
      node.is_end_expected = true;
      node.process.Signal(SIGTERM);
    });
  }

 public:
  void setUp() override {
    soak::soak_settings settings;
    settings.port = kPort;
    settings.entry_processes = 3;
    settings.endpoints = 5;
    settings.software = {"v1"};
    settings.reports_load = true;
    settings.slots = 6;
    settings.most_running = 9;
    settings.event_interval = kEventInterval;
    settings.silence = kSilence;
    settings.grace = milliseconds(8'000);
    StartFleet(settings, MARJORAMSILL_BINARY, MARJORAMSILL_FOLDER);
  }

  // Guards against answers that are lost around SIGTERM although their
  // endpoints go on with them.
  void silent_streams_around_planned_stops_are_not_cut_off() {
    load_end_ = std::chrono::steady_clock::now() + kLoadTime;
    for (std::size_t i = 0; i < kCallers; ++i) {
      Ask(i % fleet_->EntryNodes().size());
    }
    StopAfter(kFirstStop, 0);
    StopAfter(kSecondStop, 1);
    RunFor(kLoadTime);
    CPPUNIT_ASSERT(RunUntil([this] { return open_ == 0; }));
    std::cout << " sent " << number_ << " whole " << whole_ << " refused "
              << refused_ << " cut " << cut_.size() << "\n";
    std::string names;
    for (const std::string& each : cut_) names += " " + each;
    CPPUNIT_ASSERT_EQUAL_MESSAGE("cut off:" + names, std::size_t{0},
                                 cut_.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(silent_stream_stop_test);

}  // namespace marjoramsill
