#include "process/directory/content_fault_receipts.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <vector>

namespace marjoramsill {

using std::chrono::seconds;

class content_fault_receipts_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(content_fault_receipts_test);
  CPPUNIT_TEST(confirmed_record_is_known);
  CPPUNIT_TEST(record_of_a_lost_response_is_not_known);
  CPPUNIT_TEST(reported_record_is_known);
  CPPUNIT_TEST(record_with_another_end_or_clearance_is_not_known);
  CPPUNIT_TEST(old_receipt_counts_no_more);
  CPPUNIT_TEST(receipts_are_bounded);
  CPPUNIT_TEST_SUITE_END();

  steady_time now_{seconds(1'000)};
  content_fault_receipts receipts_;

  static content_fault Fault(std::uint64_t content, std::uint32_t clearances,
                             const std::vector<std::uint32_t>& ends) {
    content_fault fault{content_digest(content), clearances, {}};
    for (const std::uint32_t end : ends) fault.ends.emplace_back(end);
    return fault;
  }

  bool IsKnown(const content_fault& fault) const {
    std::vector<content_fault> faults{fault};
    receipts_.RemoveKnown(faults, now_);
    return faults.empty();
  }

 public:
  // Guards against records that are sent to watchers which have them.
  void confirmed_record_is_known() {
    const content_fault fault = Fault(1, 0, {1, 2});
    receipts_.OnSent(7, {fault});
    CPPUNIT_ASSERT(!IsKnown(fault));
    receipts_.OnApplied(7, now_);
    CPPUNIT_ASSERT(IsKnown(fault));
  }

  // Guards against a record that a watcher never gets.
  void record_of_a_lost_response_is_not_known() {
    const content_fault fault = Fault(1, 0, {1, 2});
    receipts_.OnSent(7, {fault});
    receipts_.OnApplied(6, now_);
    CPPUNIT_ASSERT(!IsKnown(fault));
    receipts_.OnApplied(7, now_);
    CPPUNIT_ASSERT(!IsKnown(fault));
  }

  void reported_record_is_known() {
    receipts_.OnReported({Fault(1, 0, {1, 2, 3})}, now_);
    CPPUNIT_ASSERT(IsKnown(Fault(1, 0, {1, 2, 3})));
    CPPUNIT_ASSERT(IsKnown(Fault(1, 0, {2, 3})));
  }

  void record_with_another_end_or_clearance_is_not_known() {
    receipts_.OnReported({Fault(1, 1, {1, 2})}, now_);
    CPPUNIT_ASSERT(!IsKnown(Fault(1, 1, {1, 2, 3})));
    CPPUNIT_ASSERT(!IsKnown(Fault(1, 2, {})));
    CPPUNIT_ASSERT(IsKnown(Fault(1, 0, {1, 2, 3})));
    CPPUNIT_ASSERT(!IsKnown(Fault(2, 1, {1})));
  }

  // Guards against a record that expires at a watcher while it is needed.
  void old_receipt_counts_no_more() {
    receipts_.OnReported({Fault(1, 0, {1})}, now_);
    now_ += seconds(60);
    CPPUNIT_ASSERT(!IsKnown(Fault(1, 0, {1})));
  }

  void receipts_are_bounded() {
    for (std::uint64_t i = 0; i < 5'000; ++i) {
      receipts_.OnReported({Fault(i, 0, {1})}, now_);
    }
    CPPUNIT_ASSERT(receipts_.size() <= 1'024);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(content_fault_receipts_test);

}  // namespace marjoramsill
