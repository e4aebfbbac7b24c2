#include "process/entry/decision_log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>

namespace marjoramsill {

class decision_log_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(decision_log_test);
  CPPUNIT_TEST(lines_frequent_do_not_displace_others);
  CPPUNIT_TEST(lines_beyond_the_bound_are_dropped_and_counted);
  CPPUNIT_TEST(lines_are_taken_again_in_the_next_second);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kFlood = 1'000;

  std::string written_;
  std::atomic<std::uint64_t> now_ms_{5'000};
  std::unique_ptr<decision_log> log_;

  /// Destroys the log, so that all lines are written.
  std::string Written() {
    log_.reset();
    return written_;
  }

  std::ptrdiff_t CountLines() {
    const std::string text = Written();
    return std::count(text.begin(), text.end(), '\n');
  }

 public:
  void setUp() override {
    written_.clear();
    log_ = std::make_unique<decision_log>(decision_log::hooks{
        [this](const std::string& text) { written_ += text; },
        [this] { return now_ms_.load(); }});
  }

  // Guards against many refusals that displace the line about a truncated
  // stream.
  void lines_frequent_do_not_displace_others() {
    for (int i = 0; i < kFlood; ++i) {
      log_->Write("ended", "outcome=refused", line_class::kFrequent);
    }
    log_->Write("ended", "outcome=cut_off");
    const std::string text = Written();
    CPPUNIT_ASSERT(text.find("time=5000 event=ended outcome=cut_off") !=
                   std::string::npos);
  }

  void lines_beyond_the_bound_are_dropped_and_counted() {
    for (int i = 0; i < kFlood; ++i) log_->Write("ended", "outcome=failed");
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{kFlood - decision_log::kMaxLinesPerSecond},
        log_->dropped());
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{decision_log::kMaxLinesPerSecond},
                         CountLines());
  }

  void lines_are_taken_again_in_the_next_second() {
    for (int i = 0; i < kFlood; ++i) {
      log_->Write("ended", "outcome=refused", line_class::kFrequent);
    }
    now_ms_ += 1'000;
    log_->Write("ended", "outcome=refused", line_class::kFrequent);
    CPPUNIT_ASSERT_EQUAL(
        std::ptrdiff_t{decision_log::kMaxFrequentLinesPerSecond + 1},
        CountLines());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(decision_log_test);

}  // namespace marjoramsill
