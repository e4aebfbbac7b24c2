#include "request/event_splitter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <random>
#include <string>

namespace marjoramsill {

class event_splitter_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(event_splitter_test);
  CPPUNIT_TEST(incomplete_event_is_held_back);
  CPPUNIT_TEST(incomplete_event_is_dropped_before_a_resumption);
  CPPUNIT_TEST(dropped_event_releases_its_memory);
  CPPUNIT_TEST(lines_with_carriage_returns_end_events);
  CPPUNIT_TEST(stream_split_at_any_byte_is_returned_unchanged);
  CPPUNIT_TEST_SUITE_END();

 public:
  void incomplete_event_is_held_back() {
    event_splitter splitter;
    const std::string complete("id: 1\ndata: a\n\n");
    CPPUNIT_ASSERT_EQUAL(
        complete, std::string(splitter.Add(complete + "id: 2\ndata: b")));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), splitter.last_id());
    CPPUNIT_ASSERT_EQUAL(std::string("id: 2\ndata: b"),
                         std::string(splitter.rest()));
  }

  void incomplete_event_is_dropped_before_a_resumption() {
    // The endpoint that resumes the stream sends the event again from its
    // start.
    event_splitter splitter;
    splitter.Add("id: 1\ndata: a\n\nid: 2\nda");
    splitter.DropRest();
    CPPUNIT_ASSERT_EQUAL(std::string("id: 2\ndata: b\n\n"),
                         std::string(splitter.Add("id: 2\ndata: b\n\n")));
  }

  // Guards against megabytes that a call keeps uncounted while it waits for a
  // further attempt.
  void dropped_event_releases_its_memory() {
    event_splitter splitter;
    splitter.Add("data: " + std::string(1'000'000, 'x'));
    splitter.DropRest();
    // The buffer of a short string is part of its object.
    const std::less<const void*> is_before;
    const void* data = splitter.rest().data();
    CPPUNIT_ASSERT(!is_before(data, &splitter));
    CPPUNIT_ASSERT(is_before(data, &splitter + 1));
  }

  void lines_with_carriage_returns_end_events() {
    event_splitter splitter;
    CPPUNIT_ASSERT_EQUAL(std::string("id: 7\r\ndata: a\r\n\r\n"),
                         std::string(splitter.Add("id: 7\r\ndata: a\r\n\r\n")));
    CPPUNIT_ASSERT_EQUAL(std::string("7"), splitter.last_id());
  }

  void stream_split_at_any_byte_is_returned_unchanged() {
    std::string stream;
    for (int i = 1; i <= 40; ++i) {
      stream += "id: " + std::to_string(i) + "\ndata: piece\n\n";
    }
    std::mt19937 random(20261203);
    for (int round = 0; round < 200; ++round) {
      event_splitter splitter;
      std::string output;
      for (std::size_t at = 0; at < stream.size();) {
        const std::size_t length = 1 + random() % 40;
        output += splitter.Add(std::string_view(stream).substr(at, length));
        at += length;
      }
      CPPUNIT_ASSERT_EQUAL(stream, output);
      CPPUNIT_ASSERT_EQUAL(std::string("40"), splitter.last_id());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_splitter_test);

}  // namespace marjoramsill
