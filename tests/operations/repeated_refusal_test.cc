#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <string>

#include "fleet_fixture.h"
#include "raw_endpoint.h"

namespace marjoramsill {

using std::chrono::milliseconds;

/// An entry process in front of an endpoint that writes an earlier refusal once
/// more, on a connection that carries the next request.
class repeated_refusal_test : public fleet_fixture {
  CPPUNIT_TEST_SUITE(repeated_refusal_test);
  CPPUNIT_TEST(repeated_refusal_without_id_is_not_taken_for_the_next_answer);
  CPPUNIT_TEST(repeated_refusal_of_an_earlier_id_is_skipped);
  CPPUNIT_TEST(repeated_refusal_after_the_first_ends_the_connection);
  CPPUNIT_TEST(refusal_without_id_on_a_new_connection_is_passed_on);
  CPPUNIT_TEST(only_a_refusal_without_id_leaves_the_outcome_unknown);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 20'000;

  std::unique_ptr<raw_endpoint> endpoint_;
  int number_ = 0;

  int Ask(const std::string& path) {
    return Status(0, path, "raw" + std::to_string(++number_));
  }

  static std::string Refusal(const std::string& status,
                             const std::string& fields = "") {
    return "HTTP/1.1 " + status + " No\r\nNot-Executed: 1\r\n" + fields +
           "Content-Length: 0\r\n\r\n";
  }

  static std::string Success() {
    return "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: raw\r\n"
           "Content-Length: 3\r\n\r\nyes";
  }

  /// A connection carries a first request, which is refused, and then a second
  /// one. Returns the status of the second one's response.
  int AskTwice(const std::string& path, const raw_answer& second) {
    endpoint_->SetAnswers(
        {{Refusal("503", "Attempt-Id: {id}\r\n"), "", raw_end::kKeep, ""},
         second});
    CPPUNIT_ASSERT_EQUAL(503, Ask(path));
    RunFor(milliseconds(100));
    return Ask(path);
  }

  void UseNewConnection() {
    endpoint_->SetAnswer({Refusal("503", "Connection: close\r\n"), ""});
    Ask("/raw-ask/");
    RunFor(milliseconds(100));
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
    endpoint_->SetAnswer({"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", ""});
    CPPUNIT_ASSERT(RunUntil([this] { return Ask("/raw-ask/") == 500; }));
  }

  void tearDown() override {
    endpoint_.reset();
    fleet_fixture::tearDown();
  }

  // Guards against a response "not run" to a caller whose request its
  // endpoint runs.
  void repeated_refusal_without_id_is_not_taken_for_the_next_answer() {
    for (const char* path : {"/raw-book/", "/raw-ask/"}) {
      for (const char* status : {"503", "429", "408", "421"}) {
        const int received =
            AskTwice(path, {Refusal(status), "", raw_end::kClose, Success()});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(path) + " " + status, 200,
                                     received);
      }
    }
  }

  void repeated_refusal_of_an_earlier_id_is_skipped() {
    const std::string repeated = Refusal("503", "Attempt-Id: raw0\r\n");
    CPPUNIT_ASSERT_EQUAL(
        200,
        AskTwice("/raw-book/", {repeated, "", raw_end::kClose, Success()}));
  }

  void repeated_refusal_after_the_first_ends_the_connection() {
    const std::string refusal = Refusal("503", "Attempt-Id: {id}\r\n");
    endpoint_->SetAnswers({{refusal + Refusal("503"), "", raw_end::kKeep, ""},
                           {Success(), "", raw_end::kKeep, ""}});
    CPPUNIT_ASSERT_EQUAL(503, Ask("/raw-book/"));
    RunFor(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(200, Ask("/raw-book/"));
  }

  void refusal_without_id_on_a_new_connection_is_passed_on() {
    UseNewConnection();
    endpoint_->SetAnswer({Refusal("503"), ""});
    CPPUNIT_ASSERT_EQUAL(503, Ask("/raw-book/"));
  }

  // Guards against a promise that rests on a response which may belong to an
  // earlier request.
  void only_a_refusal_without_id_leaves_the_outcome_unknown() {
    CPPUNIT_ASSERT_EQUAL(
        504, AskTwice("/raw-book/", {Refusal("503"), "", raw_end::kKeep, ""}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(repeated_refusal_test);

}  // namespace marjoramsill
