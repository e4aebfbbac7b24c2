#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "fleet_fixture.h"
#include "http_call.h"
#include "raw_endpoint.h"

namespace marjoramsill {

using std::chrono::milliseconds;

/// An entry process that reaches no control process holds an older document
/// than the one that its requests are handed on to. The older document sends
/// the route to the pool `svc`, the newer one to `raw`.
class relay_document_test : public fleet_fixture {
  CPPUNIT_TEST_SUITE(relay_document_test);
  CPPUNIT_TEST(effect_of_newer_document_ends_use_of_older_one);
  CPPUNIT_TEST(effect_of_newer_document_without_response_ends_use_of_older_one);
  CPPUNIT_TEST(callers_of_entry_with_older_document_are_served);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 28'500;
  static constexpr std::size_t kEntries = 2;
  /// Names of other entry processes arrive within this time.
  static constexpr milliseconds kFindingTime{1'500};
  /// A process that was stopped finds its lost links within this time.
  static constexpr milliseconds kLossTime{1'500};
  /// An entry process uses its own links again within this time.
  static constexpr milliseconds kHealTime{2'500};
  /// A request that is sent later than this after an effect of a document was
  /// seen is handled by that document.
  static constexpr milliseconds kSlack{250};
  static constexpr milliseconds kInterval{50};
  static constexpr milliseconds kOperatorTimeout{1'000};
  static constexpr int kNewerVersion = 2;
  static constexpr int kRequests = 40;
  static constexpr const char* kRoute = "/look/";
  static constexpr const char* kAnswer =
      "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: raw\r\n"
      "Content-Length: 2\r\n\r\nok";

  std::unique_ptr<raw_endpoint> newer_;
  int number_ = 0;

  int Ask(std::size_t entry) {
    return Status(entry, kRoute, "ask" + std::to_string(++number_));
  }

  /// Submits the document that sends the route to the other pool.
  void SubmitNewer() {
    auto document =
        nlohmann::json::parse(soak::soak_load::Document(kNewerVersion));
    for (nlohmann::json& route : document["routes"]) {
      if (route["pathPrefix"] == kRoute) route["service"] = "raw";
    }
    std::optional<int> status;
    soak::Call(io_, fleet_->ControlNodes()[0]->control,
               soak::RequestText("PUT", "/config", {}, document.dump()),
               kOperatorTimeout, [&status](const auto& response) {
                 status = response ? response->head.status : 0;
               });
    CPPUNIT_ASSERT(RunUntil([&status] { return status.has_value(); }));
    CPPUNIT_ASSERT_EQUAL(200, *status);
  }

  /// The first entry process keeps the older document and reaches no control
  /// process and no endpoint of the older pool.
  void HoldOlder() {
    soak::soak_node& older = *fleet_->EntryNodes()[0];
    fleet_->CutFromEndpoints({&older}, soak::cut_form::kSilent);
    const auto end = std::chrono::steady_clock::now() + kFindingTime;
    CPPUNIT_ASSERT(RunUntil([this, end] {
      return Ask(0) == 200 && std::chrono::steady_clock::now() > end;
    }));
    fleet_->PauseNode(older);
    SubmitNewer();
    const int before = newer_->request_count();
    CPPUNIT_ASSERT(RunUntil([this, before] {
      Ask(1);
      return newer_->request_count() > before;
    }));
    for (soak::soak_node* control : fleet_->ControlNodes()) {
      fleet_->PauseNode(*control);
    }
    fleet_->ResumeNode(older);
  }

  /// Sends requests through the first entry process until one has run by the
  /// newer document.
  void ShowEffect() {
    const int before = newer_->request_count();
    auto next = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT(RunUntil([&] {
      const auto now = std::chrono::steady_clock::now();
      if (now >= next) {
        Send(0, kRoute, "effect" + std::to_string(++number_), {}, [](int) {});
        next = now + kInterval;
      }
      return newer_->request_count() > before;
    }));
    RunFor(kSlack);
  }

  /// Sends requests through the first entry process, which regains its own
  /// links meanwhile, and checks that all run by the newer document.
  void CheckLater() {
    newer_->SetAnswer({kAnswer, "", raw_end::kKeep});
    fleet_->CutFromEndpoints({}, soak::cut_form::kSilent);
    int served = 0;
    int by_older = 0;
    for (int i = 0; i < kRequests; ++i) {
      const std::string request = "later" + std::to_string(i);
      served += Status(0, kRoute, request) == 200;
      by_older += ledger_.CountRuns(request) > 0;
      RunFor(kHealTime / kRequests);
    }
    std::cout << " served " << served << " of " << kRequests
              << ", by the older document " << by_older << std::endl;
    CPPUNIT_ASSERT_EQUAL(0, by_older);
    CPPUNIT_ASSERT_EQUAL(kRequests, served);
  }

 public:
  void setUp() override {
    soak::soak_settings settings;
    settings.port = kPort;
    settings.entry_processes = kEntries;
    settings.software = {"v1"};
    StartFleet(settings, MARJORAMSILL_BINARY, MARJORAMSILL_FOLDER);
    newer_ = std::make_unique<raw_endpoint>(
        io_, socket_address{"127.0.2.9", kPort + 9},
        [this] { return fleet_->ControlNodes()[0]->control; });
    newer_->SetAnswer({kAnswer, "", raw_end::kKeep});
    for (std::size_t entry = 0; entry < kEntries; ++entry) {
      CPPUNIT_ASSERT(RunUntil([this, entry] {
        return Status(entry, "/raw-ask/", "raw" + std::to_string(++number_)) ==
               200;
      }));
    }
  }

  void tearDown() override {
    newer_.reset();
    fleet_fixture::tearDown();
  }

  // Guards against an entry VM that goes back to its older document after
  // requests that it handed on have shown the effect of a newer one.
  void effect_of_newer_document_ends_use_of_older_one() {
    HoldOlder();
    ShowEffect();
    CheckLater();
  }

  // Guards against an entry VM that fetches the newer document only after a
  // response, which may come long after the request has run, or never.
  void effect_of_newer_document_without_response_ends_use_of_older_one() {
    HoldOlder();
    newer_->SetAnswer({"", "", raw_end::kKeep});
    ShowEffect();
    CheckLater();
  }

  // Guards against refusals while an entry VM without links has to fetch the
  // newer document from the VM that it hands its requests on to.
  void callers_of_entry_with_older_document_are_served() {
    HoldOlder();
    RunFor(kLossTime);
    int served = 0;
    for (int i = 0; i < kRequests; ++i) {
      served += Ask(0) == 200;
      RunFor(kInterval);
    }
    std::cout << " served " << served << " of " << kRequests << std::endl;
    CPPUNIT_ASSERT_EQUAL(kRequests, served);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_document_test);

}  // namespace marjoramsill
