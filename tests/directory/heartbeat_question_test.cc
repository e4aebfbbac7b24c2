#include "process/directory/heartbeat_question.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <vector>

#include "process/directory/endpoint_directory.h"

namespace marjoramsill {

using std::chrono::milliseconds;
using std::chrono::seconds;

class heartbeat_question_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(heartbeat_question_test);
  CPPUNIT_TEST(heartbeat_after_the_moment_continues);
  CPPUNIT_TEST(missing_heartbeat_beside_others_of_the_domain_stopped);
  CPPUNIT_TEST(missing_heartbeat_of_a_silent_domain_is_unknown);
  CPPUNIT_TEST(endpoint_of_another_process_is_unknown);
  CPPUNIT_TEST(newer_start_and_end_stopped);
  CPPUNIT_TEST(messages_survive_their_codec);
  CPPUNIT_TEST(malformed_messages_are_rejected);
  CPPUNIT_TEST_SUITE_END();

  const steady_time start_{seconds(1'000)};
  endpoint_directory directory_;

  static endpoint_record Record(const char* id, const char* domain,
                                std::uint64_t incarnation,
                                std::uint64_t sequence) {
    endpoint_record record;
    record.id = endpoint_id(id);
    record.pool = model_id("m");
    record.address = std::string("127.0.0.1:70") + id;
    record.domain = failure_domain_id(domain);
    record.incarnation = incarnation_number(incarnation);
    record.sequence = sequence;
    return record;
  }

  heartbeat_state StateAfter(milliseconds after) const {
    return directory_.HeartbeatsSince(endpoint_id("1"), incarnation_number(5),
                                      start_ + after);
  }

 public:
  void heartbeat_after_the_moment_continues() {
    directory_.ReceiveHeartbeat(Record("1", "a", 5, 1), start_);
    directory_.ReceiveHeartbeat(Record("1", "a", 5, 2), start_ + seconds(1));
    CPPUNIT_ASSERT(StateAfter(milliseconds(500)) ==
                   heartbeat_state::kContinues);
  }

  void missing_heartbeat_beside_others_of_the_domain_stopped() {
    directory_.ReceiveHeartbeat(Record("1", "a", 5, 1), start_);
    directory_.ReceiveHeartbeat(Record("2", "a", 5, 1), start_ + seconds(1));
    CPPUNIT_ASSERT(StateAfter(milliseconds(500)) == heartbeat_state::kStopped);
  }

  // Guards against a failure domain that is cut off and counts as crashed.
  void missing_heartbeat_of_a_silent_domain_is_unknown() {
    directory_.ReceiveHeartbeat(Record("1", "a", 5, 1), start_);
    directory_.ReceiveHeartbeat(Record("2", "b", 5, 1), start_ + seconds(1));
    CPPUNIT_ASSERT(StateAfter(milliseconds(500)) == heartbeat_state::kUnknown);
  }

  // Guards against a process that takes the lack of heartbeats which another
  // one receives for a crash.
  void endpoint_of_another_process_is_unknown() {
    CPPUNIT_ASSERT(StateAfter(milliseconds(500)) == heartbeat_state::kUnknown);
    directory_.Merge(Record("1", "a", 5, 1), start_);
    directory_.ReceiveHeartbeat(Record("2", "a", 5, 1), start_ + seconds(1));
    CPPUNIT_ASSERT(StateAfter(milliseconds(500)) == heartbeat_state::kUnknown);
  }

  void newer_start_and_end_stopped() {
    directory_.Merge(Record("1", "a", 6, 1), start_ + seconds(1));
    CPPUNIT_ASSERT(StateAfter(milliseconds(500)) == heartbeat_state::kStopped);
    directory_.End(endpoint_id("1"), incarnation_number(9), start_);
    CPPUNIT_ASSERT(directory_.HeartbeatsSince(endpoint_id("1"),
                                              incarnation_number(6), start_) ==
                   heartbeat_state::kStopped);
  }

  void messages_survive_their_codec() {
    const std::vector<heartbeat_question> questions{
        {endpoint_id("1"), incarnation_number(5), milliseconds(1'400)},
        {endpoint_id("2"), incarnation_number(6), milliseconds(0)}};
    const auto decoded =
        DecodeHeartbeatQuestions(EncodeHeartbeatQuestions(questions));
    CPPUNIT_ASSERT(decoded && *decoded == questions);
    const std::vector<heartbeat_state> states{heartbeat_state::kStopped,
                                              heartbeat_state::kContinues,
                                              heartbeat_state::kUnknown};
    const auto answered = DecodeHeartbeatStates(EncodeHeartbeatStates(states));
    CPPUNIT_ASSERT(answered && *answered == states);
  }

  // An earlier build answers a message of an unknown kind with nothing.
  void malformed_messages_are_rejected() {
    CPPUNIT_ASSERT(!DecodeHeartbeatQuestions(""));
    CPPUNIT_ASSERT(!DecodeHeartbeatStates(""));
    CPPUNIT_ASSERT(!DecodeHeartbeatStates("\x01"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(heartbeat_question_test);

}  // namespace marjoramsill
