#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>

#include "connection/request_parser.h"
#include "connection/response_parser.h"

namespace marjoramsill {

class message_parser_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(message_parser_test);
  CPPUNIT_TEST(request_split_at_any_byte_is_parsed_completely);
  CPPUNIT_TEST(pipelined_requests_are_parsed_one_by_one);
  CPPUNIT_TEST(request_with_ambiguous_framing_is_malformed);
  CPPUNIT_TEST(too_large_head_and_body_are_distinguished);
  CPPUNIT_TEST(response_parser_stops_after_the_head_and_at_the_end);
  CPPUNIT_TEST(interim_response_is_skipped);
  CPPUNIT_TEST(status_outside_the_classes_of_http_is_malformed);
  CPPUNIT_TEST(endless_interim_responses_are_malformed);
  CPPUNIT_TEST(held_bytes_follow_the_request_and_end_with_it);
  CPPUNIT_TEST(response_without_length_ends_with_its_connection);
  CPPUNIT_TEST(truncated_response_is_not_complete);
  CPPUNIT_TEST(random_bytes_do_not_crash_the_parsers);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t kMaxHeadBytes = 4'096;
  static constexpr std::size_t kMaxBodyBytes = 1'024;

  static parse_state ReadRequest(const std::string& bytes) {
    request_parser parser(kMaxHeadBytes, kMaxBodyBytes);
    parser.Read(bytes);
    return parser.state();
  }

 public:
  void request_split_at_any_byte_is_parsed_completely() {
    const std::string bytes =
        "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nX-One: 1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    for (std::size_t cut = 1; cut < bytes.size(); ++cut) {
      request_parser parser(kMaxHeadBytes, kMaxBodyBytes);
      const std::size_t used = parser.Read(bytes.substr(0, cut));
      CPPUNIT_ASSERT_EQUAL(cut, used);
      parser.Read(bytes.substr(cut));
      CPPUNIT_ASSERT(parser.state() == parse_state::kComplete);
      const caller_message message = parser.Take();
      CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c=d"), message.target);
      CPPUNIT_ASSERT_EQUAL(std::string("abcde"), message.body);
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, message.fields.size());
    }
  }

  void pipelined_requests_are_parsed_one_by_one() {
    std::string bytes =
        "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
    request_parser parser(kMaxHeadBytes, kMaxBodyBytes);
    bytes.erase(0, parser.Read(bytes));
    CPPUNIT_ASSERT_EQUAL(std::string("/1"), parser.Take().target);
    parser.Read(bytes);
    CPPUNIT_ASSERT_EQUAL(std::string("/2"), parser.Take().target);
  }

  void request_with_ambiguous_framing_is_malformed() {
    const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
    for (const std::string& fields :
         {std::string("Content-Length: 3\r\nContent-Length: 4\r\n"),
          std::string("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"),
          std::string("Transfer-Encoding: chunked\r\n"
                      "Transfer-Encoding: identity\r\n"),
          std::string("Transfer-Encoding: gzip, chunked\r\n"),
          std::string("Host: other\r\n"), std::string("A: b\0c\r\n", 8)}) {
      CPPUNIT_ASSERT(ReadRequest(start + fields + "\r\nabcd") ==
                     parse_state::kMalformed);
    }
    CPPUNIT_ASSERT(ReadRequest("GET / HTTP/1.1\r\n\r\n") ==
                   parse_state::kMalformed);
  }

  void too_large_head_and_body_are_distinguished() {
    const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
    CPPUNIT_ASSERT(ReadRequest(start + "A: " + std::string(5'000, 'a') +
                               "\r\n\r\n") == parse_state::kHeadTooLarge);
    CPPUNIT_ASSERT(ReadRequest(start + "Content-Length: 1025\r\n\r\n") ==
                   parse_state::kBodyTooLarge);
    CPPUNIT_ASSERT(ReadRequest(start +
                               "Transfer-Encoding: chunked\r\n\r\n"
                               "401\r\n" +
                               std::string(1'025, 'a') + "\r\n") ==
                   parse_state::kBodyTooLarge);
  }

  void response_parser_stops_after_the_head_and_at_the_end() {
    std::string body;
    response_parser parser([&body](std::string_view data) { body += data; });
    std::string bytes =
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 503";
    bytes.erase(0, parser.Read(bytes));
    CPPUNIT_ASSERT(parser.state() == parse_state::kInBody);
    CPPUNIT_ASSERT_EQUAL(std::string(), body);
    while (parser.state() == parse_state::kInBody) {
      bytes.erase(0, parser.Read(bytes));
    }
    CPPUNIT_ASSERT(parser.state() == parse_state::kComplete);
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), body);
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503"), bytes);
    CPPUNIT_ASSERT(parser.allows_reuse());
  }

  void interim_response_is_skipped() {
    response_parser parser([](std::string_view) {});
    std::string bytes =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n";
    while (!bytes.empty() && parser.state() != parse_state::kComplete) {
      bytes.erase(0, parser.Read(bytes));
    }
    CPPUNIT_ASSERT(parser.state() == parse_state::kComplete);
    CPPUNIT_ASSERT_EQUAL(204, parser.head().status);
  }

  void status_outside_the_classes_of_http_is_malformed() {
    for (const char* status : {"0", "000", "099", "600", "999"}) {
      response_parser parser([](std::string_view) {});
      std::string bytes = std::string("HTTP/1.1 ") + status +
                          " Odd\r\nContent-Length: 0\r\n\r\n";
      parser.Read(bytes);
      CPPUNIT_ASSERT_MESSAGE(status, parser.state() == parse_state::kMalformed);
    }
  }

  // Guards against a call that an endpoint keeps open without any answer.
  void endless_interim_responses_are_malformed() {
    response_parser parser([](std::string_view) {});
    int count = 0;
    while (parser.state() != parse_state::kMalformed && count < 1'000) {
      ++count;
      std::string bytes = "HTTP/1.1 102 Processing\r\n\r\n";
      while (!bytes.empty() && parser.state() != parse_state::kMalformed) {
        bytes.erase(0, parser.Read(bytes));
      }
    }
    CPPUNIT_ASSERT(count > 10 && count < 1'000);
  }

  void held_bytes_follow_the_request_and_end_with_it() {
    request_parser parser(1'000, 1'000);
    const std::string head =
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 500\r\n\r\n";
    parser.Read(head);
    const std::size_t held = parser.held_bytes();
    CPPUNIT_ASSERT(held >= 2 * sizeof(http_field));
    parser.Read(std::string(400, 'x'));
    CPPUNIT_ASSERT_EQUAL(held + 400, parser.held_bytes());
    parser.Read(std::string(100, 'x'));
    CPPUNIT_ASSERT_EQUAL(std::size_t{500}, parser.Take().body.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, parser.held_bytes());
  }

  void response_without_length_ends_with_its_connection() {
    response_parser parser([](std::string_view) {});
    std::string bytes = "HTTP/1.1 200 OK\r\n\r\nabc";
    while (!bytes.empty()) bytes.erase(0, parser.Read(bytes));
    CPPUNIT_ASSERT(parser.state() == parse_state::kInBody);
    CPPUNIT_ASSERT(parser.ReadEnd());
  }

  void truncated_response_is_not_complete() {
    response_parser parser([](std::string_view) {});
    std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc";
    while (!bytes.empty()) bytes.erase(0, parser.Read(bytes));
    CPPUNIT_ASSERT(!parser.ReadEnd());
  }

  void random_bytes_do_not_crash_the_parsers() {
    std::mt19937 random(20261203);
    for (int round = 0; round < 5'000; ++round) {
      std::string bytes =
          "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
      for (int i = 0; i < 3; ++i) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
      }
      ReadRequest(bytes);
      response_parser parser([](std::string_view) {});
      std::string rest = "HTTP/1.1 200 OK\r\n" + bytes;
      rest[random() % rest.size()] = static_cast<char>(random());
      while (!rest.empty() && parser.state() != parse_state::kMalformed &&
             parser.state() != parse_state::kComplete) {
        rest.erase(0, parser.Read(rest));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_parser_test);

}  // namespace marjoramsill
