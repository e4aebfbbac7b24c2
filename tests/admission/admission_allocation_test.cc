#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <random>

#include "counted_allocation.h"
#include "process/admission/admission_queue.h"

namespace marjoramsill {

class admission_allocation_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(admission_allocation_test);
  CPPUNIT_TEST(steady_load_45000_workspaces_does_not_allocate);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t kWorkspaces = 45'000;

  admission_queue queue_{{}, std::mt19937_64(1)};
  admission_actions actions_;
  std::vector<admission_ticket> running_;
  std::size_t oldest_ = 0;
  steady_time now_;
  std::uint64_t offered_ = 0;

  void OfferOne() {
    const std::uint64_t number = offered_++;
    const auto result = queue_.Offer(
        {.request = request_handle(number),
         .rank = static_cast<rank>(number / kWorkspaces % kRankCount),
         .workspace = workspace_handle(number * 7919 % kWorkspaces),
         .cost = cost_units(1 + number % 1000),
         .deadline = now_ + std::chrono::hours(10),
         .expected_service = std::chrono::seconds(1)},
        now_);
    if (result.has_value() && result.value().state == offer_state::kAdmitted) {
      running_.push_back(result.value().ticket);
    }
  }
  void FinishOne() {
    now_ += std::chrono::microseconds(100);
    queue_.Finish(running_[oldest_], cost_units(500), now_, actions_);
    for (const admission_action& action : actions_) {
      if (action.kind == admission_action_kind::kAdmit) {
        running_[oldest_] = action.ticket;
      }
    }
    actions_.clear();
    oldest_ = (oldest_ + 1) % running_.size();
  }

 public:
  // Guards against allocations on the hot path, under the shard's lock.
  void steady_load_45000_workspaces_does_not_allocate() {
    actions_.reserve(1024);
    running_.reserve(1024);
    queue_.SetCapacity({.cost = cost_units(1'000'000'000), .concurrency = 100},
                       now_, actions_);
    for (std::uint64_t i = 0; i < 3 * kWorkspaces; ++i) OfferOne();
    for (std::uint64_t i = 0; i < 3 * kWorkspaces; ++i) {
      FinishOne();
      OfferOne();
    }
    CPPUNIT_ASSERT(allocations > 0);
    const std::size_t before = allocations;
    for (std::uint64_t i = 0; i < 3 * kWorkspaces; ++i) {
      FinishOne();
      OfferOne();
      if (i % 100 == 0) queue_.Tick(now_, actions_);
      actions_.clear();
    }
    // The assertion itself allocates.
    const std::size_t counted = allocations - before;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, counted);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{100}, queue_.running());
    // The test is only meaningful if all workspaces have a backlog.
    CPPUNIT_ASSERT(queue_.queued(rank::kBackground) > kWorkspaces);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_allocation_test);

}  // namespace marjoramsill
