#include <cppunit/extensions/HelperMacros.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "http_call.h"
#include "platform/field_names.h"
#include "run_ledger.h"
#include "soak_fleet.h"
#include "soak_load.h"

namespace marjoramsill {

using std::chrono::milliseconds;

/// Two entry processes in front of four endpoints of two software versions.
class stream_version_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stream_version_test);
  CPPUNIT_TEST(stream_resumed_at_another_entry_vm_keeps_its_version);
  CPPUNIT_TEST(stream_of_a_killed_entry_vm_keeps_its_version);
  CPPUNIT_TEST(stream_resumed_within_a_response_keeps_its_version);
  CPPUNIT_TEST(stream_of_unknown_origin_is_refused);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 24'000;
  static constexpr milliseconds kWaitTimeout{20'000};
  static constexpr milliseconds kCallerTimeout{3'000};
  /// Longer than an entry process holds back what it knows of its streams.
  static constexpr milliseconds kSharingTime{1'200};
  static constexpr int kStreams = 8;

  asio::io_context io_;
  soak::run_ledger ledger_;
  std::unique_ptr<soak::soak_fleet> fleet_;
  std::unique_ptr<soak::soak_load> load_;

  bool RunUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!done()) {
      if (std::chrono::steady_clock::now() > end) return false;
      io_.restart();
      io_.run_for(milliseconds(1));
    }
    return true;
  }

  void RunFor(milliseconds duration) {
    const auto end = std::chrono::steady_clock::now() + duration;
    RunUntil([end] { return std::chrono::steady_clock::now() > end; });
  }

  /// Sends a request and waits for the end of its response; 0 if it has none or
  /// it breaks off. `resumed`: the request whose stream is resumed.
  int Status(int entry, const std::string& path, const std::string& request,
             const std::string& resumed = "") {
    http_field_list fields = {{platform::kRequestId, request},
                              {platform::kRemainingMs, "2500"}};
    if (!resumed.empty()) {
      fields.push_back({platform::kResumedRequest, resumed});
      fields.push_back({platform::kLastEventId, "2"});
    }
    auto status = std::make_shared<std::optional<int>>();
    soak::Call(io_, fleet_->EntryNodes()[entry]->callers,
               soak::RequestText("POST", path + request, fields, "body"),
               kCallerTimeout,
               [status](const std::optional<soak::http_response>& response) {
                 *status = response ? response->head.status : 0;
               });
    CPPUNIT_ASSERT(RunUntil([&] { return status->has_value(); }));
    return **status;
  }

  void CheckVersions() {
    const std::string found =
        ledger_.violations().empty() ? "" : ledger_.violations().front();
    CPPUNIT_ASSERT_EQUAL(std::string(), found);
  }

 public:
  void setUp() override {
    const std::string folder = MARJORAMSILL_FOLDER;
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    soak::soak_settings settings;
    settings.binary = MARJORAMSILL_BINARY;
    settings.folder = folder;
    settings.port = kPort;
    settings.entry_processes = 2;
    fleet_ = std::make_unique<soak::soak_fleet>(io_, settings, ledger_);
    load_ = std::make_unique<soak::soak_load>(io_, *fleet_, ledger_, 1);
    fleet_->Start();
    load_->SubmitDocument();
    int number = 0;
    for (int entry = 0; entry < 2; ++entry) {
      CPPUNIT_ASSERT(RunUntil([&] {
        return Status(entry, "/look/", "try-" + std::to_string(++number)) ==
               200;
      }));
    }
    RunFor(kSharingTime);
  }

  void tearDown() override {
    load_.reset();
    fleet_.reset();
  }

  // Guards against a stream that goes on at any endpoint when its caller takes
  // it up at an entry VM that did not begin it.
  void stream_resumed_at_another_entry_vm_keeps_its_version() {
    for (int i = 0; i < kStreams; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, Status(0, "/chat/", "s" + std::to_string(i)));
    }
    RunFor(kSharingTime);
    for (int i = 0; i < kStreams; ++i) {
      const std::string stream = "s" + std::to_string(i);
      CPPUNIT_ASSERT_EQUAL(200, Status(1, "/chat/", "again-" + stream, stream));
    }
    CheckVersions();
  }

  // Guards against streams whose version is lost with the entry VM that began
  // them.
  void stream_of_a_killed_entry_vm_keeps_its_version() {
    for (int i = 0; i < kStreams; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, Status(0, "/chat/", "s" + std::to_string(i)));
    }
    RunFor(kSharingTime);
    fleet_->EntryNodes()[0]->is_end_expected = true;
    fleet_->KillNode(*fleet_->EntryNodes()[0], false);
    for (int i = 0; i < kStreams; ++i) {
      const std::string stream = "s" + std::to_string(i);
      CPPUNIT_ASSERT_EQUAL(200, Status(1, "/chat/", "again-" + stream, stream));
    }
    CheckVersions();
  }

  // Guards against an entry VM that resumes a broken stream at an endpoint of
  // another version, within the response that it has begun.
  void stream_resumed_within_a_response_keeps_its_version() {
    for (int i = 0; i < kStreams; ++i) {
      const std::string stream = "s" + std::to_string(i);
      CrashFirstEndpointOf(stream);
      Status(0, "/chat/", stream);
      for (const auto& endpoint : fleet_->endpoints()) {
        if (!endpoint->is_running()) endpoint->Start();
      }
      RunFor(milliseconds(1'000));
    }
    CheckVersions();
  }

  // Guards against a guess where nothing is known of the stream.
  void stream_of_unknown_origin_is_refused() {
    CPPUNIT_ASSERT_EQUAL(503, Status(1, "/chat/", "again-x", "x"));
  }

 private:
  /// Crashes the endpoint that runs the stream, after some of its events.
  void CrashFirstEndpointOf(const std::string& stream) {
    auto timer = std::make_shared<asio::steady_timer>(io_, milliseconds(10));
    timer->async_wait([this, stream, timer](std::error_code) {
      for (const auto& endpoint : fleet_->endpoints()) {
        if (!endpoint->IsStreaming(stream)) continue;
        auto crash =
            std::make_shared<asio::steady_timer>(io_, milliseconds(70));
        crash->async_wait(
            [crash, at = endpoint.get()](std::error_code) { at->Crash(); });
        return;
      }
      CrashFirstEndpointOf(stream);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_version_test);

}  // namespace marjoramsill
