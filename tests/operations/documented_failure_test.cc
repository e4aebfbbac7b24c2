#include <cppunit/extensions/HelperMacros.h>

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <sstream>
#include <string>

#include "http_call.h"
#include "platform/field_names.h"
#include "run_ledger.h"
#include "soak_fleet.h"
#include "soak_load.h"

namespace marjoramsill {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Reproduces the failures described in docs/OPERATIONS.md with real processes.
/// Guards against log lines that the document refers to but that are not
/// written.
class documented_failure_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(documented_failure_test);
  CPPUNIT_TEST(request_refused_without_a_document_log_names_the_reason);
  CPPUNIT_TEST(interrupted_stream_log_names_the_endpoint_and_the_cause);
  CPPUNIT_TEST(booking_of_unknown_outcome_log_names_the_endpoint);
  CPPUNIT_TEST(operator_sees_the_fleet_and_the_document);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 23'000;
  static constexpr milliseconds kWaitTimeout{20'000};
  static constexpr milliseconds kCallerTimeout{3'000};

  asio::io_context io_;
  soak::run_ledger ledger_;
  std::string folder_;
  std::unique_ptr<soak::soak_fleet> fleet_;
  std::unique_ptr<soak::soak_load> load_;

  /// Runs the callers and endpoints of the test until `done` returns true;
  /// returns false after a timeout.
  bool RunUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!done()) {
      if (std::chrono::steady_clock::now() > end) return false;
      io_.restart();
      io_.run_for(milliseconds(1));
    }
    return true;
  }

  struct outcome {
    bool has_ended = false;
    std::optional<soak::http_response> response;
  };

  std::shared_ptr<outcome> Send(const std::string& path,
                                const std::string& request) {
    auto sent = std::make_shared<outcome>();
    const http_field_list fields = {{platform::kRequestId, request},
                                    {platform::kRemainingMs, "2500"}};
    soak::Call(io_, fleet_->EntryNodes()[0]->callers,
               soak::RequestText("POST", path + request, fields, "body"),
               kCallerTimeout,
               [sent](std::optional<soak::http_response> response) {
                 sent->has_ended = true;
                 sent->response = std::move(response);
               });
    return sent;
  }

  std::string EntryLog() const {
    std::ifstream file(folder_ + "/" + fleet_->EntryNodes()[0]->name + ".log");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }

  /// Waits until the log has a line that contains all parts.
  bool IsLogged(const std::vector<std::string>& parts) {
    return RunUntil([&] {
      std::istringstream lines(EntryLog());
      std::string line;
      while (std::getline(lines, line)) {
        bool has_all = true;
        for (const std::string& part : parts) {
          has_all = has_all && (line + " ").find(part + " ") != line.npos;
        }
        if (has_all) return true;
      }
      return false;
    });
  }

  /// Starts everything and waits until a request is served.
  void StartServing() {
    fleet_->Start();
    load_->SubmitDocument();
    int number = 0;
    CPPUNIT_ASSERT_MESSAGE(
        "no request was served", RunUntil([&] {
          const auto sent = Send("/look/", "try-" + std::to_string(++number));
          RunUntil([&] { return sent->has_ended; });
          return sent->response && sent->response->head.status == 200;
        }));
  }

  /// Runs a command while the proxies keep forwarding; returns its standard
  /// output.
  std::string Output(const std::string& arguments) {
    auto output = std::async(std::launch::async, RunCommand, arguments);
    CPPUNIT_ASSERT(RunUntil(
        [&] { return output.wait_for(0ms) == std::future_status::ready; }));
    return output.get();
  }

  static std::string RunCommand(const std::string& arguments) {
    const std::string line = std::string(MARJORAMSILL_BINARY) + " " + arguments;
    std::FILE* pipe = ::popen(line.c_str(), "r");
    if (pipe == nullptr) return "";
    std::string text;
    char buffer[4'096];
    for (std::size_t bytes_read = 0;
         (bytes_read = std::fread(buffer, 1, sizeof(buffer), pipe)) > 0;) {
      text.append(buffer, bytes_read);
    }
    ::pclose(pipe);
    return text;
  }

 public:
  void setUp() override {
    folder_ = MARJORAMSILL_FOLDER;
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    soak::soak_settings settings;
    settings.binary = MARJORAMSILL_BINARY;
    settings.folder = folder_;
    settings.port = kPort;
    settings.entry_processes = 1;
    settings.endpoints = 1;
    fleet_ = std::make_unique<soak::soak_fleet>(io_, settings, ledger_);
    load_ = std::make_unique<soak::soak_load>(io_, *fleet_, ledger_, 1);
  }

  void tearDown() override {
    load_.reset();
    fleet_.reset();
  }

  void request_refused_without_a_document_log_names_the_reason() {
    fleet_->StartNode(*fleet_->EntryNodes()[0]);
    CPPUNIT_ASSERT(IsLogged({"event=started", "role=entry"}));
    const auto sent = Send("/book/", "refused-1");
    CPPUNIT_ASSERT(RunUntil([&] { return sent->has_ended; }));
    CPPUNIT_ASSERT(sent->response.has_value());
    CPPUNIT_ASSERT_EQUAL(503, sent->response->head.status);
    CPPUNIT_ASSERT(FindField(sent->response->head.fields, "Retry-After"));
    CPPUNIT_ASSERT(
        IsLogged({"event=ended", "request=refused-1", "outcome=refused",
                  "reason=no_document", "sent=0", "document=0"}));
  }

  void interrupted_stream_log_names_the_endpoint_and_the_cause() {
    StartServing();
    const auto sent = Send("/once/", "stream-1");
    CPPUNIT_ASSERT(RunUntil([&] { return ledger_.HasRun("stream-1"); }));
    // Some events reach the caller first.
    const auto deadline = std::chrono::steady_clock::now() + 60ms;
    RunUntil([&] { return std::chrono::steady_clock::now() > deadline; });
    fleet_->endpoints()[0]->Crash();
    CPPUNIT_ASSERT(RunUntil([&] { return sent->has_ended; }));
    CPPUNIT_ASSERT(!sent->response.has_value());
    CPPUNIT_ASSERT(
        IsLogged({"event=placed", "request=stream-1", "endpoint=i-0"}));
    CPPUNIT_ASSERT(
        IsLogged({"event=attempt_ended", "request=stream-1", "endpoint=i-0",
                  "cause=broken", "status=200", "next=cut_off"}));
    CPPUNIT_ASSERT(IsLogged({"event=ended", "request=stream-1",
                             "outcome=cut_off", "reason=broken", "sent=1"}));
  }

  void booking_of_unknown_outcome_log_names_the_endpoint() {
    StartServing();
    const auto sent = Send("/book/", "once-booking");
    CPPUNIT_ASSERT(RunUntil([&] { return ledger_.HasRun("once-booking"); }));
    fleet_->endpoints()[0]->Crash();
    CPPUNIT_ASSERT(RunUntil([&] { return sent->has_ended; }));
    CPPUNIT_ASSERT(sent->response.has_value());
    CPPUNIT_ASSERT_EQUAL(502, sent->response->head.status);
    CPPUNIT_ASSERT(IsLogged({"event=attempt_ended", "request=once-booking",
                             "endpoint=i-0", "cause=broken", "status=0"}));
    CPPUNIT_ASSERT(IsLogged({"event=ended", "request=once-booking",
                             "outcome=failed", "reason=broken", "sent=1"}));
  }

  void operator_sees_the_fleet_and_the_document() {
    StartServing();
    const std::string control =
        " --control " + FormatSocketAddress(fleet_->ControlNodes()[0]->control);
    const std::string status = Output("status" + control);
    CPPUNIT_ASSERT_MESSAGE(status, status.find("Pool svc") != status.npos);
    CPPUNIT_ASSERT_MESSAGE(status, status.find("i-0 d0 ready") != status.npos);
    CPPUNIT_ASSERT_MESSAGE(status, status.find("Entry VMs 1") != status.npos);
    CPPUNIT_ASSERT_EQUAL(soak::soak_load::Document(1),
                         Output("document get" + control));
    std::ofstream(folder_ + "/document") << soak::soak_load::Document(2);
    CPPUNIT_ASSERT_EQUAL(
        std::string("accepted\n"),
        Output("document submit " + folder_ + "/document" + control));
    CPPUNIT_ASSERT_EQUAL(soak::soak_load::Document(2),
                         Output("document get" + control));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(documented_failure_test);

}  // namespace marjoramsill
