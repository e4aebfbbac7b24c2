#include "process/daemon/event_log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace marjoramsill {

class event_log_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(event_log_test);
  CPPUNIT_TEST(value_with_special_characters_is_quoted_and_escaped);
  CPPUNIT_TEST(value_long_is_cut);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a caller that forges a log line or a second field by what
  // it sends in a header.
  void value_with_special_characters_is_quoted_and_escaped() {
    const auto is = [](const std::string& expected, const std::string& value) {
      CPPUNIT_ASSERT_EQUAL(expected, EscapeLogValue(value));
    };
    is("plain-1.2/x", "plain-1.2/x");
    is("\"\"", "");
    is("\"a b\"", "a b");
    is("\"a=b\"", "a=b");
    is("\"a\\\"b\\\\\"", "a\"b\\");
    is("\"a\\x0aevent\\x0d\\x1b\\x00\\x7f\"",
       std::string("a\nevent\r\x1b\0\x7f", 11));
    // UTF-8 is not escaped.
    is("\"M\xC4\x81ori\"", "M\xC4\x81ori");
  }

  // Guards against a long header value that fills the log.
  void value_long_is_cut() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{500},
                         EscapeLogValue(std::string(100'000, 'a')).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_log_test);

}  // namespace marjoramsill
