#include "process/daemon/leader_response.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace marjoramsill {

class leader_response_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(leader_response_test);
  CPPUNIT_TEST(message_round_trip_keeps_its_fields);
  CPPUNIT_TEST(message_cut_or_of_another_shape_gives_nothing);
  CPPUNIT_TEST(message_damaged_byte_does_not_fail_the_decoder);
  CPPUNIT_TEST(message_with_a_newer_field_is_read);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a command that reaches the wrong group or is changed in
  // transit.
  void message_round_trip_keeps_its_fields() {
    const std::string binary("\x00\xff\x80 text", 8);
    const auto request = DecodeLeaderRequest(EncodeLeaderRequest({3, binary}));
    CPPUNIT_ASSERT(request.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, request->group);
    CPPUNIT_ASSERT_EQUAL(binary, request->command);
    for (const auto kind :
         {leader_response_kind::kCompleted, leader_response_kind::kNotLeader,
          leader_response_kind::kUnknown}) {
      const auto response = DecodeLeaderResponse(
          EncodeLeaderResponse({kind, vm_id("vm2"), binary}));
      CPPUNIT_ASSERT(response.has_value());
      CPPUNIT_ASSERT(response->kind == kind);
      CPPUNIT_ASSERT(response->leader == vm_id("vm2"));
      CPPUNIT_ASSERT_EQUAL(binary, response->body);
    }
  }

  // Guards against a response of unknown kind or a truncated response being
  // treated as "not leader", after which a command would be proposed a second
  // time.
  void message_cut_or_of_another_shape_gives_nothing() {
    const std::string response = EncodeLeaderResponse(
        {leader_response_kind::kNotLeader, vm_id("vm2"), "body"});
    const std::string request = EncodeLeaderRequest({300, "command"});
    for (std::size_t i = 0; i < response.size(); ++i) {
      CPPUNIT_ASSERT(!DecodeLeaderResponse(response.substr(0, i)));
    }
    for (std::size_t i = 0; i < request.size(); ++i) {
      CPPUNIT_ASSERT(!DecodeLeaderRequest(request.substr(0, i)));
    }
    CPPUNIT_ASSERT(!DecodeLeaderResponse(request));
    std::string unknown = response;
    unknown[1] = 3;
    CPPUNIT_ASSERT(!DecodeLeaderResponse(unknown));
    CPPUNIT_ASSERT(!DecodeLeaderResponse(std::string(100'000, '\x93')));
    CPPUNIT_ASSERT(
        !DecodeLeaderRequest(std::string("\x92\x01\xdb\xff\xff\xff\xff", 7)));
    const std::string long_command(1024UL * 1024 + 1, 'c');
    CPPUNIT_ASSERT(
        !DecodeLeaderRequest(EncodeLeaderRequest({1, long_command})));
  }

  // Guards against an exception that leaves the decoder on invalid input. A
  // message with a damaged byte may still decode to a valid value.
  void message_damaged_byte_does_not_fail_the_decoder() {
    const std::string bytes = EncodeLeaderResponse(
        {leader_response_kind::kCompleted, vm_id("vm2"), "body"});
    int read = 0;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
      for (int value = 0; value < 256; ++value) {
        std::string damaged = bytes;
        damaged[i] = static_cast<char>(value);
        read += DecodeLeaderResponse(damaged).has_value() ? 1 : 0;
        static_cast<void>(DecodeLeaderRequest(damaged));
      }
    }
    CPPUNIT_ASSERT(read > 0);
  }

  // Guards against incompatibility between VMs of different releases.
  void message_with_a_newer_field_is_read() {
    std::string bytes = EncodeLeaderRequest({2, "c"});
    bytes[0] = '\x93';
    bytes += '\x07';
    const auto request = DecodeLeaderRequest(bytes);
    CPPUNIT_ASSERT(request.has_value() && request->command == "c");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leader_response_test);

}  // namespace marjoramsill
