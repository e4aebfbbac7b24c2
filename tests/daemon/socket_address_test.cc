#include "connection/socket_address.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace marjoramsill {

class socket_address_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(socket_address_test);
  CPPUNIT_TEST(address_of_each_family_parses_and_formats_back);
  CPPUNIT_TEST(address_of_another_form_is_refused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an IPv6 address written without brackets, in which the port
  // cannot be distinguished from the address.
  void address_of_each_family_parses_and_formats_back() {
    for (const std::string text :
         {"127.0.0.1:1", "[::1]:8080", "0.0.0.0:65535", "[fe80::1:2]:443"}) {
      const auto parsed = ParseSocketAddress(text);
      CPPUNIT_ASSERT_MESSAGE(text, parsed.has_value());
      CPPUNIT_ASSERT_EQUAL(text, FormatSocketAddress(*parsed));
    }
    CPPUNIT_ASSERT(
        (ParseSocketAddress("[::1]:80") == socket_address{"::1", 80}));
  }

  // Guards against host names, which processes do not resolve, and against
  // ports that are truncated to 16 bits.
  void address_of_another_form_is_refused() {
    for (const std::string text : {"",
                                   ":",
                                   ":80",
                                   "127.0.0.1",
                                   "127.0.0.1:",
                                   "127.0.0.1:0",
                                   "127.0.0.1:65536",
                                   "127.0.0.1:65616",
                                   "127.0.0.1:-1",
                                   "127.0.0.1:+1",
                                   "127.0.0.1: 80",
                                   "127.0.0.1:80 ",
                                   "localhost:80",
                                   "127.0.0.1.5:80",
                                   "127.0.0.256:80",
                                   "::1:80",
                                   "[::1]",
                                   "[::1:80",
                                   "::1]:80",
                                   "[127.0.0.1]:80",
                                   "[[::1]]:80"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseSocketAddress(text));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(socket_address_test);

}  // namespace marjoramsill
