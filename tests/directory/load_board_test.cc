#include "process/directory/load_board.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace marjoramsill {

using std::chrono::milliseconds;

class load_board_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(load_board_test);
  CPPUNIT_TEST(report_newest_wins_whatever_the_order);
  CPPUNIT_TEST(report_old_is_not_given_out);
  CPPUNIT_TEST(reports_of_control_processes_stay_off_other_control_processes);
  CPPUNIT_TEST(reports_beyond_one_answer_come_with_the_next);
  CPPUNIT_TEST_SUITE_END();

  static shared_load Load(std::uint64_t endpoint, std::uint32_t running,
                          milliseconds age = milliseconds(0)) {
    return {endpoint_digest(endpoint), {running, 0, 16}, age};
  }

  load_board board_;
  endpoint_digest cursor_;
  steady_time now_{milliseconds(100'000)};

 public:
  void report_newest_wins_whatever_the_order() {
    board_.Note({Load(1, 7)}, load_board::source::kEntry, now_);
    board_.Note({Load(1, 3, milliseconds(500))}, load_board::source::kEntry,
                now_ + milliseconds(100));
    const auto loads = board_.Collect(cursor_, false, now_ + milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, loads.size());
    CPPUNIT_ASSERT_EQUAL(7U, loads[0].report.running);
    CPPUNIT_ASSERT(loads[0].age == milliseconds(200));
  }

  void report_old_is_not_given_out() {
    board_.Note({Load(1, 7)}, load_board::source::kEntry, now_);
    now_ += milliseconds(2'100);
    CPPUNIT_ASSERT(board_.Collect(cursor_, false, now_).empty());
    board_.Expire(now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, board_.size());
  }

  void reports_of_control_processes_stay_off_other_control_processes() {
    board_.Note({Load(1, 7)}, load_board::source::kController, now_);
    CPPUNIT_ASSERT(board_.Collect(cursor_, true, now_).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         board_.Collect(cursor_, false, now_).size());
  }

  void reports_beyond_one_answer_come_with_the_next() {
    // A fleet with more endpoints than an answer holds must not starve any.
    constexpr std::uint64_t kEndpoints = 150;
    for (std::uint64_t i = 1; i <= kEndpoints; ++i) {
      board_.Note({Load(i, 1)}, load_board::source::kEntry, now_);
    }
    std::set<endpoint_digest> told;
    for (int answer = 0; answer < 3; ++answer) {
      for (const shared_load& load : board_.Collect(cursor_, false, now_)) {
        told.insert(load.endpoint);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{kEndpoints}, told.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_board_test);

}  // namespace marjoramsill
