#include "process/daemon/leader_answer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace marjoramsill {

class leader_answer_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(leader_answer_test);
  CPPUNIT_TEST(message_round_trip_keeps_its_fields);
  CPPUNIT_TEST(message_cut_or_of_another_shape_gives_nothing);
  CPPUNIT_TEST(message_damaged_byte_does_not_fail_the_decoder);
  CPPUNIT_TEST(message_with_a_newer_field_is_read);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a command that reaches another group or changes on the way.
  void message_round_trip_keeps_its_fields() {
    const std::string binary("\x00\xff\x80 text", 8);
    const auto request = DecodeLeaderRequest(EncodeLeaderRequest({3, binary}));
    CPPUNIT_ASSERT(request.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, request->group);
    CPPUNIT_ASSERT_EQUAL(binary, request->command);
    for (const auto kind :
         {leader_answer_kind::kAnswered, leader_answer_kind::kNotLeader,
          leader_answer_kind::kUnknown}) {
      const auto answer =
          DecodeLeaderAnswer(EncodeLeaderAnswer({kind, vm_id("vm2"), binary}));
      CPPUNIT_ASSERT(answer.has_value());
      CPPUNIT_ASSERT(answer->kind == kind);
      CPPUNIT_ASSERT(answer->leader == vm_id("vm2"));
      CPPUNIT_ASSERT_EQUAL(binary, answer->body);
    }
  }

  // Guards against an answer of unknown kind or half an answer being taken for
  // "not leader", after which a command would be proposed a second time.
  void message_cut_or_of_another_shape_gives_nothing() {
    const std::string answer = EncodeLeaderAnswer(
        {leader_answer_kind::kNotLeader, vm_id("vm2"), "body"});
    const std::string request = EncodeLeaderRequest({300, "command"});
    for (std::size_t i = 0; i < answer.size(); ++i) {
      CPPUNIT_ASSERT(!DecodeLeaderAnswer(answer.substr(0, i)));
    }
    for (std::size_t i = 0; i < request.size(); ++i) {
      CPPUNIT_ASSERT(!DecodeLeaderRequest(request.substr(0, i)));
    }
    CPPUNIT_ASSERT(!DecodeLeaderAnswer(request));
    std::string unknown = answer;
    unknown[1] = 3;
    CPPUNIT_ASSERT(!DecodeLeaderAnswer(unknown));
    CPPUNIT_ASSERT(!DecodeLeaderAnswer(std::string(100'000, '\x93')));
    CPPUNIT_ASSERT(
        !DecodeLeaderRequest(std::string("\x92\x01\xdb\xff\xff\xff\xff", 7)));
    const std::string long_command(1024UL * 1024 + 1, 'c');
    CPPUNIT_ASSERT(
        !DecodeLeaderRequest(EncodeLeaderRequest({1, long_command})));
  }

  // Guards against an exception that leaves the decoder on hostile input. A
  // damaged byte may give a value of the same shape.
  void message_damaged_byte_does_not_fail_the_decoder() {
    const std::string bytes = EncodeLeaderAnswer(
        {leader_answer_kind::kAnswered, vm_id("vm2"), "body"});
    int read = 0;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
      for (int value = 0; value < 256; ++value) {
        std::string damaged = bytes;
        damaged[i] = static_cast<char>(value);
        read += DecodeLeaderAnswer(damaged).has_value() ? 1 : 0;
        static_cast<void>(DecodeLeaderRequest(damaged));
      }
    }
    CPPUNIT_ASSERT(read > 0);
  }

  // Guards against VMs of two releases that do not understand each other.
  void message_with_a_newer_field_is_read() {
    std::string bytes = EncodeLeaderRequest({2, "c"});
    bytes[0] = '\x93';
    bytes += '\x07';
    const auto request = DecodeLeaderRequest(bytes);
    CPPUNIT_ASSERT(request.has_value() && request->command == "c");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leader_answer_test);

}  // namespace marjoramsill
