#include "request/forwarded_head.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "request/request_dialect.h"

namespace marjoramsill {

class forwarded_head_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(forwarded_head_test);
  CPPUNIT_TEST(field_of_the_caller_is_forwarded_unchanged);
  CPPUNIT_TEST(hop_by_hop_field_is_dropped);
  CPPUNIT_TEST(field_listed_in_connection_is_dropped);
  CPPUNIT_TEST(key_is_never_forwarded);
  CPPUNIT_TEST(field_reserved_for_the_fleet_is_dropped);
  CPPUNIT_TEST(last_event_id_is_dropped_when_a_stream_is_resumed);
  CPPUNIT_TEST(request_that_is_handed_on_keeps_the_key);
  CPPUNIT_TEST_SUITE_END();

  static request_dialect Dialect() {
    request_dialect dialect;
    dialect.reserved = {"X-Pin"};
    return dialect;
  }

  static std::string Lines(const http_field_list& fields,
                           bool keep_last_event_id = true) {
    return ForwardedLines(fields, Dialect(), keep_last_event_id);
  }

 public:
  void field_of_the_caller_is_forwarded_unchanged() {
    CPPUNIT_ASSERT_EQUAL(std::string("hOsT: a.example\r\nX-Odd: a, b\r\n"),
                         Lines({{"hOsT", "a.example"}, {"X-Odd", "a, b"}}));
  }

  void hop_by_hop_field_is_dropped() {
    CPPUNIT_ASSERT_EQUAL(std::string(), Lines({{"Keep-Alive", "timeout=5"},
                                               {"transfer-encoding", "chunked"},
                                               {"Content-Length", "5"},
                                               {"Upgrade", "h2c"}}));
  }

  void field_listed_in_connection_is_dropped() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("C: 3\r\n"),
        Lines({{"A", "1"}, {"B", "2"}, {"C", "3"}, {"Connection", "a , b"}}));
  }

  void key_is_never_forwarded() {
    CPPUNIT_ASSERT_EQUAL(std::string(), Lines({{"x-api-key", "secret"}}));
  }

  void field_reserved_for_the_fleet_is_dropped() {
    CPPUNIT_ASSERT_EQUAL(std::string(), Lines({{"X-Workspace", "other"},
                                               {"x-pin", "4000"},
                                               {"X-Endpoint", "e"},
                                               {"X-Cache-Source", "a:1"}}));
  }

  void request_that_is_handed_on_keeps_the_key() {
    CPPUNIT_ASSERT_EQUAL(std::string("X-Api-Key: secret\r\nX-Pin: 4\r\n"),
                         HandedOnLines({{"X-Api-Key", "secret"},
                                        {"X-Pin", "4"},
                                        {"X-Remaining-Ms", "900"},
                                        {"Connection", "close"},
                                        {"Last-Event-Id", "4"}},
                                       Dialect(), false));
  }

  void last_event_id_is_dropped_when_a_stream_is_resumed() {
    const http_field_list fields{{"Last-Event-Id", "4"}};
    CPPUNIT_ASSERT_EQUAL(std::string("Last-Event-Id: 4\r\n"), Lines(fields));
    CPPUNIT_ASSERT_EQUAL(std::string(), Lines(fields, false));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(forwarded_head_test);

}  // namespace marjoramsill
