#include "process/daemon/endpoint_request.h"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>
#include <string>

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

const steady_time kNow{std::chrono::seconds(100)};
const std::string kBody =
    R"({"model":"draft","messages":[{"role":"user","content":"a"}],"n":1})";

std::string ValueOf(const http_field_list& fields, const std::string& name) {
  CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 1, CountFields(fields, name));
  return FindField(fields, name)->value;
}

}  // namespace

class endpoint_request_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_request_test);
  CPPUNIT_TEST(request_end_to_end_fields_are_forwarded_and_others_not);
  CPPUNIT_TEST(request_fields_named_in_connection_are_not_forwarded);
  CPPUNIT_TEST(request_deadline_passed_still_has_a_timeout);
  CPPUNIT_TEST(request_resume_carries_attempt_and_offset);
  CPPUNIT_TEST(request_replay_continues_the_text);
  CPPUNIT_TEST(response_head_framing_follows_its_fields);
  CPPUNIT_TEST(response_fields_of_the_connection_are_not_forwarded);
  CPPUNIT_TEST_SUITE_END();

  http_request request_;
  classified_request classified_;
  start_attempt attempt_;

  endpoint_call Make() const {
    return MakeEndpointCall(request_, classified_, attempt_, request_id("r1"),
                            "127.0.0.1:7601", kNow);
  }

 public:
  void setUp() override {
    request_ = {"POST", "/v1/chat/completions", "", {}, kBody};
    classified_ = {};
    classified_.method = "POST";
    classified_.target = "/v1/chat/completions";
    classified_.rank = rank::kBackground;
    attempt_ = {};
    attempt_.attempt = attempt_id("a1");
    attempt_.deadline = kNow + milliseconds(1'500);
  }

  // Guards against request smuggling through framing fields of the caller's
  // connection, and against a caller that sets a field of the entry VM.
  void request_end_to_end_fields_are_forwarded_and_others_not() {
    request_.fields = {{"content-type", "application/json"},
                       {"Authorization", "Bearer t"},
                       {"host", "fleet"},
                       {"content-length", "999"},
                       {"TRANSFER-ENCODING", "chunked"},
                       {"Expect", "100-continue"},
                       {"Upgrade", "h2c"},
                       {"Accept-Encoding", "gzip"},
                       {"x-attempt-id", "forged"},
                       {"X-Request-Id", "forged"},
                       {"X-Priority", "0"},
                       {"X-Deadline-Ms", "9"},
                       {"X-Resume-Offset", "7"},
                       {"X-Resume-Attempt", "forged"}};
    const endpoint_call call = Make();
    CPPUNIT_ASSERT_EQUAL(std::string("POST"), call.method);
    CPPUNIT_ASSERT_EQUAL(
        std::string("http://127.0.0.1:7601/v1/chat/completions"), call.url);
    CPPUNIT_ASSERT_EQUAL(kBody, call.body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, call.fields.size());
    CPPUNIT_ASSERT_EQUAL(std::string("application/json"),
                         ValueOf(call.fields, "Content-Type"));
    CPPUNIT_ASSERT_EQUAL(std::string("Bearer t"),
                         ValueOf(call.fields, "Authorization"));
    CPPUNIT_ASSERT_EQUAL(std::string("r1"),
                         ValueOf(call.fields, "X-Request-Id"));
    CPPUNIT_ASSERT_EQUAL(std::string("a1"),
                         ValueOf(call.fields, "X-Attempt-Id"));
    CPPUNIT_ASSERT_EQUAL(std::string("1500"),
                         ValueOf(call.fields, "X-Deadline-Ms"));
    CPPUNIT_ASSERT_EQUAL(std::string("2"), ValueOf(call.fields, "X-Priority"));
    CPPUNIT_ASSERT(call.total_timeout == milliseconds(1'500));
  }

  // Guards against forwarding a field that the caller meant for its own
  // connection only (RFC 9110 section 7.6.1).
  void request_fields_named_in_connection_are_not_forwarded() {
    request_.fields = {
        {"Connection", "close, X-Hop"}, {"x-hop", "1"}, {"X-Hop-Far", "2"}};
    const endpoint_call call = Make();
    CPPUNIT_ASSERT_EQUAL(0, CountFields(call.fields, "X-Hop"));
    CPPUNIT_ASSERT_EQUAL(1, CountFields(call.fields, "X-Hop-Far"));
  }

  // Guards against a timeout of zero, which means "no timeout" to libcurl.
  void request_deadline_passed_still_has_a_timeout() {
    attempt_.deadline = kNow - milliseconds(5);
    const endpoint_call call = Make();
    CPPUNIT_ASSERT(call.total_timeout == milliseconds(1));
    CPPUNIT_ASSERT(call.connect_timeout == milliseconds(1));
  }

  // Guards against a resume that the endpoint treats as a new request.
  void request_resume_carries_attempt_and_offset() {
    attempt_.kind = attempt_kind::kResume;
    attempt_.resume_attempt = attempt_id("a0");
    attempt_.resume_offset = 17;
    const endpoint_call call = Make();
    CPPUNIT_ASSERT_EQUAL(std::string("a0"),
                         ValueOf(call.fields, "X-Resume-Attempt"));
    CPPUNIT_ASSERT_EQUAL(std::string("17"),
                         ValueOf(call.fields, "X-Resume-Offset"));
    CPPUNIT_ASSERT_EQUAL(kBody, call.body);
  }

  // Guards against a replay that repeats the text which the caller already has
  // or that loses members of the request.
  void request_replay_continues_the_text() {
    attempt_.kind = attempt_kind::kReplay;
    attempt_.text_so_far = "so \"far\"\n";
    const endpoint_call call = Make();
    const auto body = nlohmann::json::parse(call.body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, body.at("messages").size());
    CPPUNIT_ASSERT(body["messages"][0]["content"] == "a");
    CPPUNIT_ASSERT(body["messages"][1]["role"] == "assistant");
    CPPUNIT_ASSERT(body["messages"][1]["content"] == attempt_.text_so_far);
    CPPUNIT_ASSERT(body.at("continue_final_message") == true);
    CPPUNIT_ASSERT(body.at("add_generation_prompt") == false);
    CPPUNIT_ASSERT(body.at("n") == 1);
    CPPUNIT_ASSERT_EQUAL(0, CountFields(call.fields, "X-Resume-Attempt"));
  }

  // Guards against a truncated body that counts as complete because its framing
  // was misinterpreted.
  void response_head_framing_follows_its_fields() {
    const auto head = [](const http_field_list& fields) {
      return MakeResponseHead(200, fields, "POST");
    };
    CPPUNIT_ASSERT(head({}).framing == body_framing::kUntilClose);
    const auto sized = head({{"content-length", "12"}, {"x-attempt-id", "a1"}});
    CPPUNIT_ASSERT(sized.framing == body_framing::kLength);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, sized.content_length);
    CPPUNIT_ASSERT(sized.echoed == attempt_id("a1"));
    CPPUNIT_ASSERT(!sized.resume_offset);
    const auto both =
        head({{"Content-Length", "12"}, {"Transfer-Encoding", "chunked"}});
    CPPUNIT_ASSERT(both.framing == body_framing::kChunked);
    for (const std::string value : {"-1", "1x", "", "18446744073709551616"}) {
      CPPUNIT_ASSERT(head({{"Content-Length", value}}).framing ==
                     body_framing::kUntilClose);
      CPPUNIT_ASSERT(!head({{"X-Resume-Offset", value}}).resume_offset);
    }
    CPPUNIT_ASSERT(head({{"X-Resume-Offset", "3"}}).resume_offset == 3U);
    const auto without =
        MakeResponseHead(200, {{"Content-Length", "12"}}, "HEAD");
    CPPUNIT_ASSERT(without.framing == body_framing::kLength);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, without.content_length);
    CPPUNIT_ASSERT(MakeResponseHead(204, {}, "POST").framing ==
                   body_framing::kLength);
  }

  // Guards against the endpoint's framing and the fleet's own fields reaching
  // the caller.
  void response_fields_of_the_connection_are_not_forwarded() {
    const http_field_list fields =
        CallerFields({{"Content-Type", "text/plain"},
                      {"content-length", "3"},
                      {"Transfer-Encoding", "chunked"},
                      {"X-Attempt-Id", "a1"},
                      {"x-endpoint-load", "running=1"},
                      {"Set-Cookie", "a"},
                      {"Set-Cookie", "b"}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fields.size());
    CPPUNIT_ASSERT_EQUAL(std::string("text/plain"), fields[0].value);
    CPPUNIT_ASSERT_EQUAL(2, CountFields(fields, "Set-Cookie"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_request_test);

}  // namespace marjoramsill
