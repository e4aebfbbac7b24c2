#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdio>
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

/// An entry process in front of an endpoint that answers before it has read the
/// request, or with a status that does not exist.
class early_answer_test : public fleet_fixture {
  CPPUNIT_TEST_SUITE(early_answer_test);
  CPPUNIT_TEST(answer_without_length_that_ends_during_upload_is_not_complete);
  CPPUNIT_TEST(answer_to_a_chunked_upload_with_expectation_is_not_complete);
  CPPUNIT_TEST(early_answer_on_a_kept_connection_is_not_complete);
  CPPUNIT_TEST(framed_answer_during_an_upload_is_complete);
  CPPUNIT_TEST(status_that_does_not_exist_does_not_reach_the_caller);
  CPPUNIT_TEST(body_of_a_status_below_100_is_in_no_other_answer);
  CPPUNIT_TEST(endless_interim_responses_end_in_an_error);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 17'500;
  static constexpr milliseconds kCallerTimeout{4'000};
  /// Exceeds what the socket buffers of both sides take.
  static constexpr std::size_t kUpload = std::size_t{4} * 1000 * 1000;

  static constexpr const char* kFields =
      "Attempt-Id: {id}\r\nServer-Signature: raw\r\n";

  static std::string Head() {
    return std::string("HTTP/1.1 200 OK\r\n") + kFields;
  }

  std::unique_ptr<raw_endpoint> endpoint_;
  int number_ = 0;

  /// Returns the complete response to this request.
  std::optional<soak::http_response> Answer(const std::string& request) {
    std::optional<soak::http_response> received;
    bool is_done = false;
    soak::Call(io_, fleet_->EntryNodes()[0]->callers, request, kCallerTimeout,
               [&](std::optional<soak::http_response> response) {
                 received = std::move(response);
                 is_done = true;
               });
    CPPUNIT_ASSERT(RunUntil([&] { return is_done; }));
    return received;
  }

  std::string Upload(const std::string& path, std::size_t bytes) {
    const std::string id = "early" + std::to_string(++number_);
    return soak::RequestText(
        "POST", path + id,
        {{platform::kRequestId, id}, {platform::kRemainingMs, "2500"}},
        std::string(bytes, 'u'));
  }

  std::string ChunkedUpload(const std::string& path) {
    const std::string id = "chunked" + std::to_string(++number_);
    std::string text =
        "POST " + path + id + " HTTP/1.1\r\nHost: soak.example\r\n" +
        platform::kRequestId + ": " + id + "\r\n" + platform::kRemainingMs +
        ": 2500\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", kUpload);
    return text + size + std::string(kUpload, 'u') + "\r\n0\r\n\r\n";
  }

  int StatusOf(const std::string& request) {
    const auto response = Answer(request);
    return response ? response->head.status : 0;
  }

  static raw_answer Early(std::string bytes, raw_end end) {
    raw_answer answer{std::move(bytes), "", end};
    answer.ignores_body = true;
    return answer;
  }

  static std::vector<raw_end> Ends() {
    return {raw_end::kReset, raw_end::kClose, raw_end::kShutdown,
            raw_end::kProcessEnd};
  }

  static std::vector<std::string> Paths() {
    return {"/raw-ask/", "/raw-book/", "/raw-stream/", "/raw-resumable/"};
  }

  void CheckIncomplete(const std::string& request, raw_end end,
                       const std::string& body) {
    endpoint_->SetAnswer(Early(Head() + "\r\n" + body, end));
    const int status = StatusOf(request);
    endpoint_->Restart();
    CPPUNIT_ASSERT_MESSAGE(request.substr(0, 40) + " end " +
                               std::to_string(static_cast<int>(end)) +
                               " after: " + body,
                           status != 200);
  }

  void CheckError(const std::string& path, const raw_answer& answer) {
    endpoint_->SetAnswer(answer);
    const int status = StatusOf(Upload(path, 4));
    CPPUNIT_ASSERT_MESSAGE(path + " status " + std::to_string(status) +
                               " after: " + answer.begin.substr(0, 30),
                           status == 502 || status == 504);
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
    CPPUNIT_ASSERT(
        RunUntil([this] { return StatusOf(Upload("/raw-ask/", 4)) == 500; }));
  }

  void tearDown() override {
    endpoint_.reset();
    fleet_fixture::tearDown();
  }

  // Guards against a part of a body that reaches its caller as a complete
  // response. The last body ends exactly at the end of an event.
  void answer_without_length_that_ends_during_upload_is_not_complete() {
    for (const std::string& path : Paths()) {
      for (const raw_end end : Ends()) {
        for (const char* body : {"", "part of it", "id: 1\ndata: a\n\n"}) {
          CheckIncomplete(Upload(path, kUpload), end, body);
        }
      }
    }
  }

  void answer_to_a_chunked_upload_with_expectation_is_not_complete() {
    for (const std::string& path : Paths()) {
      for (const raw_end end : Ends()) {
        CheckIncomplete(ChunkedUpload(path), end, "data: a\n\n");
      }
    }
  }

  void early_answer_on_a_kept_connection_is_not_complete() {
    for (const std::string& path : Paths()) {
      for (const raw_end end :
           {raw_end::kReset, raw_end::kClose, raw_end::kShutdown}) {
        endpoint_->SetAnswers({{Head() + "Content-Length: 9\r\n\r\ndata: a\n\n",
                                "", raw_end::kKeep},
                               Early(Head() + "\r\ndata: a\n\n", end)});
        CPPUNIT_ASSERT_EQUAL(200, StatusOf(Upload(path, 4)));
        CPPUNIT_ASSERT(StatusOf(Upload(path, kUpload)) != 200);
      }
    }
  }

  // Guards against a check that refuses an answer whose end is known.
  void framed_answer_during_an_upload_is_complete() {
    for (const char* path : {"/raw-ask/", "/raw-book/", "/raw-stream/"}) {
      raw_answer answer = Early(Head() + "Content-Length: 9\r\n\r\ndata: a\n\n",
                                raw_end::kShutdown);
      endpoint_->SetAnswer(answer);
      const auto response = Answer(Upload(path, kUpload));
      CPPUNIT_ASSERT(response && response->head.status == 200);
      CPPUNIT_ASSERT_EQUAL(std::string("data: a\n\n"), response->body);
    }
  }

  void status_that_does_not_exist_does_not_reach_the_caller() {
    for (const std::string& path : Paths()) {
      for (const char* status :
           {"0", "00", "000", "007", "099", "600", "999", "1000", "-1"}) {
        const std::string line = std::string("HTTP/1.1 ") + status + " Odd\r\n";
        CheckError(path, {line + kFields + "Content-Length: 2\r\n\r\nhi", ""});
        CheckError(path, {line + kFields + "\r\ndata: a\n\n", ""});
      }
    }
  }

  // Guards against a status that is skipped like an interim one, and whose body
  // is added to that of the next answer.
  void body_of_a_status_below_100_is_in_no_other_answer() {
    for (const std::string& path : Paths()) {
      CheckError(path, {std::string("HTTP/1.1 000 Odd\r\n") + kFields +
                            "Content-Length: 9\r\n\r\ndata: x\n\n" + Head() +
                            "Content-Length: 9\r\n\r\ndata: a\n\n",
                        ""});
    }
  }

  void endless_interim_responses_end_in_an_error() {
    for (const std::string& path : Paths()) {
      const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
      std::string many;
      for (int i = 0; i < 1'000; ++i) many += interim;
      CheckError(path, {interim, many});
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(early_answer_test);

}  // namespace marjoramsill
