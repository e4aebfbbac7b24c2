#include "process/directory/record_barrier.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <vector>

namespace marjoramsill {

using std::chrono::milliseconds;

class record_barrier_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(record_barrier_test);
  CPPUNIT_TEST(process_without_records_is_not_current);
  CPPUNIT_TEST(records_are_as_old_as_those_of_a_majority);
  CPPUNIT_TEST(wait_ends_once_a_majority_has_confirmed);
  CPPUNIT_TEST(position_that_is_not_applied_confirms_nothing);
  CPPUNIT_TEST(position_of_a_restarted_member_is_not_applied);
  CPPUNIT_TEST(earlier_position_is_kept_while_changes_go_on);
  CPPUNIT_TEST(wait_without_a_majority_fails_after_the_timeout);
  CPPUNIT_TEST(waits_that_begin_together_share_a_question);
  CPPUNIT_TEST(member_without_positions_confirms_by_any_answer);
  CPPUNIT_TEST(removed_member_no_longer_counts);
  CPPUNIT_TEST(position_survives_encoding);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t kEpoch = 7;
  static steady_time At(int ms) { return steady_time(milliseconds(ms)); }
  static vm_id Member(int number) {
    return vm_id("m" + std::to_string(number));
  }

  int questions_ = 0;
  record_barrier barrier_{[this] { ++questions_; }};
  std::vector<bool> ended_;

  void Await(int moment, int now) {
    barrier_.Await(
        At(moment), [this](bool is_current) { ended_.push_back(is_current); },
        At(now));
  }
  void Answer(int member, std::uint64_t change, int asked_at) {
    barrier_.OnPosition(Member(member), directory_position{kEpoch, change},
                        At(asked_at));
  }
  void Apply(int member, std::uint64_t change, int as_of) {
    barrier_.OnRecords(Member(member), {kEpoch, change}, At(as_of));
  }

 public:
  void setUp() override {
    barrier_.SetMembers({Member(1), Member(2), Member(3)});
  }

  void process_without_records_is_not_current() {
    CPPUNIT_ASSERT(!barrier_.as_of() && !barrier_.latest_as_of());
    Apply(1, 5, 100);
    CPPUNIT_ASSERT(!barrier_.as_of());
    CPPUNIT_ASSERT(barrier_.latest_as_of() == At(100));
  }

  void records_are_as_old_as_those_of_a_majority() {
    Apply(1, 5, 100);
    Apply(2, 5, 300);
    Apply(3, 5, 200);
    CPPUNIT_ASSERT(barrier_.as_of() == At(200));
    CPPUNIT_ASSERT(barrier_.latest_as_of() == At(300));
    // A response that was delayed takes nothing back.
    Apply(3, 5, 50);
    CPPUNIT_ASSERT(barrier_.as_of() == At(200));
  }

  void wait_ends_once_a_majority_has_confirmed() {
    Apply(1, 5, 100);
    Apply(2, 5, 100);
    Await(500, 500);
    CPPUNIT_ASSERT_EQUAL(1, questions_);
    Answer(1, 5, 500);
    CPPUNIT_ASSERT(ended_.empty());
    Answer(2, 4, 500);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended_.size());
    CPPUNIT_ASSERT(ended_[0]);
    Await(500, 510);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ended_.size());
    CPPUNIT_ASSERT_EQUAL(1, questions_);
  }

  // Guards against records that are taken for current while the member has
  // later ones, as after a suspension of this process.
  void position_that_is_not_applied_confirms_nothing() {
    Apply(1, 5, 100);
    Apply(2, 5, 100);
    Await(500, 500);
    Answer(1, 6, 500);
    Answer(2, 6, 500);
    CPPUNIT_ASSERT(ended_.empty());
    Apply(1, 6, 90);
    CPPUNIT_ASSERT(ended_.empty());
    Apply(2, 7, 90);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended_.size());
    CPPUNIT_ASSERT(ended_[0]);
  }

  void position_of_a_restarted_member_is_not_applied() {
    Apply(1, 50, 100);
    Apply(2, 5, 100);
    Await(500, 500);
    Answer(2, 5, 500);
    barrier_.OnPosition(Member(1), directory_position{kEpoch + 1, 3}, At(500));
    CPPUNIT_ASSERT(ended_.empty());
    barrier_.OnRecords(Member(1), {kEpoch + 1, 3}, At(400));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended_.size());
  }

  // Guards against a wait that never ends while endpoints join and leave.
  void earlier_position_is_kept_while_changes_go_on() {
    Apply(1, 5, 100);
    Apply(2, 5, 100);
    Await(500, 500);
    for (int member : {1, 2}) {
      Answer(member, 6, 500);
      Answer(member, 9, 550);
      Apply(member, 7, 510);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended_.size());
    CPPUNIT_ASSERT(ended_[0]);
  }

  void wait_without_a_majority_fails_after_the_timeout() {
    Apply(1, 5, 100);
    Await(500, 500);
    Answer(1, 5, 500);
    barrier_.Tick(At(999));
    CPPUNIT_ASSERT(ended_.empty());
    barrier_.Tick(At(1'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended_.size());
    CPPUNIT_ASSERT(!ended_[0]);
  }

  // Guards against a question to every member for each of the many streams
  // that break off together.
  void waits_that_begin_together_share_a_question() {
    for (int now = 500; now < 550; ++now) Await(now, now);
    CPPUNIT_ASSERT_EQUAL(1, questions_);
    barrier_.Tick(At(550));
    CPPUNIT_ASSERT_EQUAL(2, questions_);
  }

  void member_without_positions_confirms_by_any_answer() {
    Await(500, 500);
    barrier_.OnPosition(Member(1), std::nullopt, At(500));
    barrier_.OnPosition(Member(2), std::nullopt, At(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended_.size());
    CPPUNIT_ASSERT(ended_[0]);
  }

  void removed_member_no_longer_counts() {
    Apply(1, 5, 100);
    Apply(2, 5, 100);
    barrier_.SetMembers({Member(2), Member(3), Member(4)});
    CPPUNIT_ASSERT(!barrier_.as_of());
  }

  void position_survives_encoding() {
    const auto decoded =
        DecodeDirectoryPosition(EncodeDirectoryPosition({kEpoch, 42}));
    CPPUNIT_ASSERT(decoded);
    CPPUNIT_ASSERT_EQUAL(kEpoch, decoded->epoch);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{42}, decoded->change);
    for (const char* text : {"", "7", "7 ", " 7", "7 x", "7 8 ", "x 8"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !DecodeDirectoryPosition(text));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_barrier_test);

}  // namespace marjoramsill
