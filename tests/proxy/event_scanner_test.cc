#include "request/event_scanner.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <string_view>

namespace marjoramsill {

class event_scanner_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(event_scanner_test);
  CPPUNIT_TEST(stream_without_bytes_has_no_event);
  CPPUNIT_TEST(blank_line_with_any_line_end_ends_event);
  CPPUNIT_TEST(comment_between_events_is_between_events);
  CPPUNIT_TEST(event_without_data_is_no_event);
  CPPUNIT_TEST(only_events_with_data_are_counted);
  CPPUNIT_TEST(dropped_rest_keeps_completed_events);
  CPPUNIT_TEST(stream_split_at_any_byte_has_the_same_places);
  CPPUNIT_TEST_SUITE_END();

 public:
  void stream_without_bytes_has_no_event() {
    CPPUNIT_ASSERT(!event_scanner().has_event());
  }

  void blank_line_with_any_line_end_ends_event() {
    for (const std::string_view line_end : {"\n", "\r\n", "\r"}) {
      event_scanner scanner;
      const std::string line = "data: a" + std::string(line_end);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, scanner.Read(line));
      CPPUNIT_ASSERT(!scanner.is_between_events());
      CPPUNIT_ASSERT_EQUAL(line_end.size(), scanner.Read(line_end));
      CPPUNIT_ASSERT(scanner.is_between_events() && scanner.has_event());
    }
  }

  void comment_between_events_is_between_events() {
    event_scanner scanner;
    CPPUNIT_ASSERT_EQUAL(std::size_t{13}, scanner.Read("data: a\n\n: c\n:"));
    CPPUNIT_ASSERT(!scanner.is_between_events());
    scanner.Read("\n");
    CPPUNIT_ASSERT(scanner.is_between_events());
  }

  void event_without_data_is_no_event() {
    event_scanner scanner;
    scanner.Read("id: 1\n\nevent: data\n\n: data\n\ndatabase: 1\n\n");
    CPPUNIT_ASSERT(scanner.is_between_events() && !scanner.has_event());
    scanner.Read("data\n\n");
    CPPUNIT_ASSERT(scanner.has_event());
  }

  // Guards against a stalled stream whose comments count as progress.
  void only_events_with_data_are_counted() {
    event_scanner scanner;
    scanner.Read("data: a\n\n: waiting\n\n\nid: 2\n\ndata: b");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, scanner.event_count());
    scanner.Read("\n\n");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, scanner.event_count());
  }

  void dropped_rest_keeps_completed_events() {
    event_scanner scanner;
    scanner.Read("data: a\n\ndata: b\r");
    scanner.DropRest();
    CPPUNIT_ASSERT(scanner.is_between_events() && scanner.has_event());
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, scanner.Read("data: b\n\n"));
  }

  void stream_split_at_any_byte_has_the_same_places() {
    const std::string_view stream = "id: 1\r\ndata: a\r\n\r\n: c\rdata: b\n\n";
    for (std::size_t at = 0; at <= stream.size(); ++at) {
      event_scanner whole;
      const std::size_t end = whole.Read(stream.substr(0, at));
      event_scanner split;
      std::size_t last = 0;
      for (std::size_t i = 0; i < at; ++i) {
        if (split.Read(stream.substr(i, 1)) != 0) last = i + 1;
      }
      CPPUNIT_ASSERT_EQUAL(end, last);
      CPPUNIT_ASSERT_EQUAL(whole.is_between_events(),
                           split.is_between_events());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_scanner_test);

}  // namespace marjoramsill
