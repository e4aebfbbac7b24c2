#include "process/directory/content_trial_leases.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>

#include "process/directory/content_trial_request.h"

namespace marjoramsill {

using std::chrono::seconds;

class content_trial_leases_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(content_trial_leases_test);
  CPPUNIT_TEST(content_under_trial_is_not_granted_again);
  CPPUNIT_TEST(content_without_an_answer_is_granted_twice);
  CPPUNIT_TEST(content_cleared_since_is_granted_at_once);
  CPPUNIT_TEST(released_leases_are_granted_to_others);
  CPPUNIT_TEST(denied_request_releases_no_lease_of_its_vm);
  CPPUNIT_TEST(contents_are_granted_all_or_none);
  CPPUNIT_TEST(process_that_has_just_started_grants_nothing);
  CPPUNIT_TEST(encoded_request_is_decoded);
  CPPUNIT_TEST(malformed_request_is_not_decoded);
  CPPUNIT_TEST_SUITE_END();

  const vm_id first_{"entry-0"};
  const vm_id second_{"entry-1"};
  steady_time now_{seconds(1'000)};
  content_trial_leases leases_{now_ - seconds(60)};

  static content_trial_request Request(std::uint64_t number,
                                       std::vector<std::uint64_t> contents,
                                       std::uint32_t clearances = 0) {
    content_trial_request request;
    request.number = number;
    for (const std::uint64_t each : contents) {
      request.trials.push_back({content_digest(each), clearances});
    }
    return request;
  }

 public:
  // Guards against trials of several VMs with the same content at fault.
  void content_under_trial_is_not_granted_again() {
    CPPUNIT_ASSERT(leases_.Acquire(first_, Request(1, {7}), now_));
    CPPUNIT_ASSERT(!leases_.Acquire(second_, Request(1, {7}), now_));
    CPPUNIT_ASSERT(!leases_.Acquire(first_, Request(2, {7}), now_));
    CPPUNIT_ASSERT(leases_.Acquire(second_, Request(2, {8}), now_));
  }

  void content_without_an_answer_is_granted_twice() {
    int granted = 0;
    for (int i = 0; i < 100; ++i) {
      if (leases_.Acquire(first_, Request(i, {7}), now_)) ++granted;
      now_ += seconds(1);
    }
    CPPUNIT_ASSERT_EQUAL(2, granted);
  }

  void content_cleared_since_is_granted_at_once() {
    CPPUNIT_ASSERT(leases_.Acquire(first_, Request(1, {7}), now_));
    CPPUNIT_ASSERT(leases_.Acquire(second_, Request(1, {7}, 1), now_));
    CPPUNIT_ASSERT(!leases_.Acquire(first_, Request(2, {7}), now_));
  }

  void released_leases_are_granted_to_others() {
    for (int i = 0; i < 10; ++i) {
      CPPUNIT_ASSERT(leases_.Acquire(first_, Request(i, {7, 8}), now_));
      leases_.Release(first_, Request(i, {7, 8}), now_);
      leases_.Release(first_, Request(i, {7, 8}), now_);
    }
    CPPUNIT_ASSERT(leases_.Acquire(second_, Request(1, {7}), now_));
  }

  // Guards against a VM that ends the lease of its own trial when it asks
  // again, so that another VM makes a trial beside it.
  void denied_request_releases_no_lease_of_its_vm() {
    CPPUNIT_ASSERT(leases_.Acquire(first_, Request(1, {7}), now_));
    CPPUNIT_ASSERT(!leases_.Acquire(first_, Request(2, {7}), now_));
    leases_.Release(first_, Request(2, {7}), now_);
    CPPUNIT_ASSERT(!leases_.Acquire(second_, Request(1, {7}), now_));
  }

  void contents_are_granted_all_or_none() {
    CPPUNIT_ASSERT(leases_.Acquire(first_, Request(1, {7}), now_));
    CPPUNIT_ASSERT(!leases_.Acquire(second_, Request(1, {8, 7}), now_));
    CPPUNIT_ASSERT(leases_.Acquire(second_, Request(2, {8}), now_));
  }

  // Guards against a lease that is granted again because the process which
  // granted it has forgotten it.
  void process_that_has_just_started_grants_nothing() {
    content_trial_leases started(now_);
    CPPUNIT_ASSERT(!started.Acquire(first_, Request(1, {7}), now_));
    now_ += seconds(10);
    CPPUNIT_ASSERT(started.Acquire(first_, Request(1, {7}), now_));
  }

  void encoded_request_is_decoded() {
    content_trial_request request = Request(3, {7, 8}, 2);
    request.action = content_trial_action::kRelease;
    const auto decoded = DecodeContentTrials(EncodeContentTrials(request));
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(request == *decoded);
  }

  void malformed_request_is_not_decoded() {
    CPPUNIT_ASSERT(!DecodeContentTrials("").has_value());
    CPPUNIT_ASSERT(!DecodeContentTrials("x").has_value());
    std::string text = EncodeContentTrials(Request(3, {7, 8}));
    text.pop_back();
    CPPUNIT_ASSERT(!DecodeContentTrials(text).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(content_trial_leases_test);

}  // namespace marjoramsill
