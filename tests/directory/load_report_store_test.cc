#include "process/directory/load_report_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace marjoramsill {

using std::chrono::milliseconds;

class load_report_store_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(load_report_store_test);
  CPPUNIT_TEST(newest_report_is_kept_whatever_the_order);
  CPPUNIT_TEST(limits_are_returned_with_the_report);
  CPPUNIT_TEST(old_report_is_not_returned);
  CPPUNIT_TEST(report_from_a_control_process_is_not_forwarded_to_others);
  CPPUNIT_TEST(reports_beyond_one_response_follow_in_the_next);
  CPPUNIT_TEST_SUITE_END();

  static shared_load Load(std::uint64_t endpoint, std::uint32_t running,
                          milliseconds age = milliseconds(0)) {
    return {endpoint_digest(endpoint), {running, 0, 16}, age};
  }

  load_report_store board_;
  endpoint_digest cursor_;
  steady_time now_{milliseconds(100'000)};

 public:
  void newest_report_is_kept_whatever_the_order() {
    board_.Record({Load(1, 7)}, load_report_store::source::kEntry, now_);
    board_.Record({Load(1, 3, milliseconds(500))},
                  load_report_store::source::kEntry, now_ + milliseconds(100));
    const auto loads = board_.Collect(cursor_, false, now_ + milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, loads.size());
    CPPUNIT_ASSERT_EQUAL(7U, loads[0].report.running);
    CPPUNIT_ASSERT(loads[0].age == milliseconds(200));
  }

  void limits_are_returned_with_the_report() {
    shared_load load = Load(1, 7);
    load.limit = 4.5;
    load.refusal_limit = 3;
    load.report.duration_percent = 250;
    load.sample = duration_sample{-12, 4, 7};
    board_.Record({load}, load_report_store::source::kEntry, now_);
    CPPUNIT_ASSERT(board_.Collect(cursor_, false, now_) ==
                   std::vector<shared_load>{load});
  }

  void old_report_is_not_returned() {
    board_.Record({Load(1, 7)}, load_report_store::source::kEntry, now_);
    now_ += milliseconds(2'100);
    CPPUNIT_ASSERT(board_.Collect(cursor_, false, now_).empty());
    board_.Expire(now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, board_.size());
  }

  void report_from_a_control_process_is_not_forwarded_to_others() {
    board_.Record({Load(1, 7)}, load_report_store::source::kController, now_);
    CPPUNIT_ASSERT(board_.Collect(cursor_, true, now_).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         board_.Collect(cursor_, false, now_).size());
  }

  void reports_beyond_one_response_follow_in_the_next() {
    // With more endpoints than fit into one response, the reports of all of
    // them have to be sent eventually.
    constexpr std::uint64_t kEndpoints = 150;
    for (std::uint64_t i = 1; i <= kEndpoints; ++i) {
      board_.Record({Load(i, 1)}, load_report_store::source::kEntry, now_);
    }
    std::set<endpoint_digest> sent;
    for (int response = 0; response < 3; ++response) {
      for (const shared_load& load : board_.Collect(cursor_, false, now_)) {
        sent.insert(load.endpoint);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{kEndpoints}, sent.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_report_store_test);

}  // namespace marjoramsill
