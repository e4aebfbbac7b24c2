#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet_fixture.h"
#include "http_call.h"
#include "platform/field_names.h"
#include "raw_endpoint.h"

namespace marjoramsill {

using std::chrono::milliseconds;

/// An entry process in front of an endpoint that writes a second copy of an
/// answer, late, on a connection that is in use again.
class late_copy_test : public fleet_fixture {
  CPPUNIT_TEST_SUITE(late_copy_test);
  CPPUNIT_TEST(copy_on_an_idle_connection_reaches_no_caller);
  CPPUNIT_TEST(copy_before_the_next_answer_reaches_no_caller);
  CPPUNIT_TEST(copy_without_an_end_of_its_own_reaches_no_caller);
  CPPUNIT_TEST(copy_behind_an_answer_reaches_no_caller);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 28'400;
  static constexpr const char* kOld = "old";
  static constexpr const char* kNew = "new";
  static constexpr milliseconds kCallerTimeout{3'000};

  std::unique_ptr<raw_endpoint> endpoint_;
  int number_ = 0;

  /// Complete answers with the id in `id`, in several framings.
  static std::vector<std::string> Answers(const std::string& id,
                                          const std::string& body) {
    const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                             "\r\nServer-Signature: raw\r\n";
    return {head + "Content-Length: 3\r\n\r\n" + body,
            head + "Transfer-Encoding: chunked\r\n\r\n3\r\n" + body +
                "\r\n0\r\n\r\n",
            "HTTP/1.1 102 Wait\r\nAttempt-Id: " + id + "\r\n\r\n" + head +
                "Content-Length: 3\r\n\r\n" + body};
  }

  static std::string Answer(const std::string& body) {
    return Answers("{id}", body).front();
  }

  /// The id of the request before the next one.
  std::string LastId() const { return "late" + std::to_string(number_); }

  /// Status and body of the response; 0 without a whole one.
  std::pair<int, std::string> Ask(const std::string& path) {
    std::optional<std::pair<int, std::string>> received;
    const std::string id = "late" + std::to_string(++number_);
    soak::Call(
        io_, fleet_->EntryNodes()[0]->callers,
        soak::RequestText(
            "POST", path + id,
            {{platform::kRequestId, id}, {platform::kRemainingMs, "2500"}},
            "body"),
        kCallerTimeout,
        [&received](const std::optional<soak::http_response>& response) {
          received = response ? std::pair(response->head.status, response->body)
                              : std::pair(0, std::string());
        });
    CPPUNIT_ASSERT(RunUntil([&received] { return received.has_value(); }));
    return *received;
  }

  void CheckNew(const std::string& path) {
    const auto [status, body] = Ask(path);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 200, status);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(path, std::string(kNew), body);
  }

 public:
  void setUp() override {
    soak::soak_settings settings;
    settings.port = kPort;
    settings.entry_processes = 1;
    settings.endpoints = 1;
    StartFleet(settings, MARJORAMSILL_BINARY, MARJORAMSILL_FOLDER);
    endpoint_ = std::make_unique<raw_endpoint>(
        io_, socket_address{"127.0.2.9", kPort + 9},
        [this] { return fleet_->ControlNodes()[0]->control; });
    endpoint_->SetAnswer({Answer(kOld), "", raw_end::kKeep});
    CPPUNIT_ASSERT(RunUntil([this] { return Ask("/raw-ask/").first == 200; }));
  }

  void tearDown() override {
    endpoint_.reset();
    fleet_fixture::tearDown();
  }

  // Guards against an answer to an earlier request that is read as that to the
  // next one.
  void copy_on_an_idle_connection_reaches_no_caller() {
    for (const char* path : {"/raw-ask/", "/raw-book/"}) {
      const std::string id = "late" + std::to_string(number_ + 1);
      for (const std::string& copy : Answers(id, kOld)) {
        endpoint_->SetAnswers({{Answer(kOld), "", raw_end::kKeep, copy},
                               {Answer(kNew), "", raw_end::kKeep}});
        CPPUNIT_ASSERT_EQUAL(200, Ask(path).first);
        RunFor(milliseconds(300));
        CheckNew(path);
      }
    }
  }

  void copy_before_the_next_answer_reaches_no_caller() {
    for (const char* path : {"/raw-ask/", "/raw-book/"}) {
      for (std::size_t framing = 0; framing < 3; ++framing) {
        endpoint_->SetAnswer({Answer(kOld), "", raw_end::kKeep});
        CPPUNIT_ASSERT_EQUAL(200, Ask(path).first);
        const std::string copy = Answers(LastId(), kOld)[framing];
        endpoint_->SetAnswer({copy + Answer(kNew), "", raw_end::kKeep});
        CheckNew(path);
        // The copy and the answer in different packets.
        endpoint_->SetAnswer({Answer(kOld), "", raw_end::kKeep});
        CPPUNIT_ASSERT_EQUAL(200, Ask(path).first);
        endpoint_->SetAnswer({Answers(LastId(), kOld)[framing], "",
                              raw_end::kKeep, Answer(kNew)});
        CheckNew(path);
      }
    }
  }

  // Guards against a copy whose end is that of the connection, so that the next
  // answer stands in its body.
  void copy_without_an_end_of_its_own_reaches_no_caller() {
    for (const char* path : {"/raw-ask/", "/raw-book/"}) {
      endpoint_->SetAnswer({Answer(kOld), "", raw_end::kKeep});
      CPPUNIT_ASSERT_EQUAL(200, Ask(path).first);
      endpoint_->SetAnswer({"HTTP/1.1 200 OK\r\nAttempt-Id: " + LastId() +
                                "\r\nServer-Signature: raw\r\n\r\nold" +
                                Answer(kNew),
                            "", raw_end::kClose});
      const auto [status, body] = Ask(path);
      CPPUNIT_ASSERT(body.find(kOld) == std::string::npos);
      // Whether the request has run is not known.
      CPPUNIT_ASSERT(status == 502 || status == 504);
    }
  }

  void copy_behind_an_answer_reaches_no_caller() {
    for (const char* path : {"/raw-ask/", "/raw-book/"}) {
      endpoint_->SetAnswers({{Answer(kOld) + Answer(kOld), "", raw_end::kKeep},
                             {Answer(kNew), "", raw_end::kKeep}});
      CPPUNIT_ASSERT_EQUAL(200, Ask(path).first);
      CheckNew(path);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(late_copy_test);

}  // namespace marjoramsill
