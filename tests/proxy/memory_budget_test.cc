#include "connection/memory_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "connection/memory_account.h"

namespace marjoramsill {

using std::chrono::milliseconds;

class memory_budget_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(memory_budget_test);
  CPPUNIT_TEST(nothing_is_closed_within_the_limit);
  CPPUNIT_TEST(largest_stalled_connection_is_closed_first);
  CPPUNIT_TEST(small_stalled_connection_goes_before_a_large_active_one);
  CPPUNIT_TEST(single_bytes_at_long_intervals_are_no_progress);
  CPPUNIT_TEST(slow_sender_makes_progress);
  CPPUNIT_TEST(largest_incomplete_request_is_closed_if_none_is_stalled);
  CPPUNIT_TEST(requests_in_progress_are_kept);
  CPPUNIT_TEST(input_behind_a_request_in_progress_does_not_close_it);
  CPPUNIT_TEST(slow_reader_is_closed_before_an_incomplete_request);
  CPPUNIT_TEST(response_just_begun_is_not_stalled);
  CPPUNIT_TEST(active_response_is_closed_last);
  CPPUNIT_TEST(closes_until_the_rest_is_within_the_limit);
  CPPUNIT_TEST(small_stalled_connections_stay_beside_a_large_one);
  CPPUNIT_TEST(connection_that_a_close_removes_is_skipped);
  CPPUNIT_TEST(connection_that_keeps_its_bytes_causes_no_endless_loop);
  CPPUNIT_TEST(account_that_ends_releases_its_bytes);
  CPPUNIT_TEST(report_has_the_inputs_of_the_decision);
  CPPUNIT_TEST(account_without_a_budget_is_not_bounded);
  CPPUNIT_TEST(limit_leaves_room_for_single_requests_of_the_largest_size);
  CPPUNIT_TEST(six_largest_requests_with_heads_fit_on_the_smallest_vm);
  CPPUNIT_TEST(limit_without_a_setting_fits_on_a_small_machine);
  CPPUNIT_TEST(pause_of_the_process_is_no_stall_of_its_callers);
  CPPUNIT_TEST(retry_after_varies_within_its_range);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t kLimit = 1'000'000;
  static constexpr auto kIncoming = memory_kind::kIncomingRequests;
  static constexpr auto kHeld = memory_kind::kHeldRequests;
  static constexpr auto kUnsent = memory_kind::kUnsentResponses;
  static constexpr auto kEndpoint = memory_kind::kEndpointResponses;

  std::uint64_t random_ = 0;
  memory_budget budget_{kLimit, [this] { return random_ += 977; }};
  std::vector<std::unique_ptr<memory_account>> accounts_;
  std::vector<std::size_t> closed_;
  std::vector<memory_shortage> shortages_;

  static steady_time At(int time) { return steady_time(milliseconds(time)); }

  /// Adds a connection that began at time 0 and holds these bytes.
  memory_account& Add(memory_kind kind, std::size_t bytes) {
    const std::size_t number = accounts_.size();
    accounts_.push_back(
        std::make_unique<memory_account>(&budget_, At(0), [this, number] {
          closed_.push_back(number);
          accounts_[number]->Clear();
        }));
    accounts_.back()->Set(kind, bytes);
    return *accounts_.back();
  }

  void CheckClosed(const std::vector<std::size_t>& expected, int time) {
    budget_.Relieve(At(time));
    CPPUNIT_ASSERT(expected == closed_);
  }

 public:
  void setUp() override {
    budget_.OnShortage([this](const memory_shortage& shortage) {
      shortages_.push_back(shortage);
    });
  }

  void tearDown() override { accounts_.clear(); }

  // Guards against stalled callers that are closed without need.
  void nothing_is_closed_within_the_limit() {
    Add(kIncoming, kLimit / 2);
    Add(kUnsent, kLimit / 2);
    CheckClosed({}, 100'000);
  }

  void largest_stalled_connection_is_closed_first() {
    Add(kIncoming, 300'000);
    Add(kIncoming, 400'000);
    Add(kIncoming, 350'000);
    CheckClosed({1}, 2'000);
  }

  // Guards against an honest upload that is ended while connections that make
  // no progress keep the memory.
  void small_stalled_connection_goes_before_a_large_active_one() {
    Add(kIncoming, 900'000).RecordTransfer(900'000, At(5'000));
    Add(kIncoming, 150'000);
    CheckClosed({1}, 5'100);
  }

  void single_bytes_at_long_intervals_are_no_progress() {
    memory_account& dripping = Add(kIncoming, 600'000);
    for (int time = 0; time < 3'000; time += 100) {
      dripping.RecordTransfer(1, At(time));
    }
    Add(kIncoming, 700'000).RecordTransfer(700'000, At(3'000));
    CheckClosed({0}, 3'000);
  }

  // 16 KB/s of a body of 1 MB.
  void slow_sender_makes_progress() {
    memory_account& slow = Add(kIncoming, 900'000);
    for (int time = 0; time < 10'000; time += 100) {
      slow.RecordTransfer(1'600, At(time));
    }
    Add(kIncoming, 200'000);
    CheckClosed({1}, 10'000);
  }

  void largest_incomplete_request_is_closed_if_none_is_stalled() {
    Add(kIncoming, 4'000);
    Add(kIncoming, 600'000);
    Add(kIncoming, 500'000);
    CheckClosed({1}, 100);
  }

  // Guards against a request that may have run and whose response is lost.
  void requests_in_progress_are_kept() {
    Add(kHeld, 800'000);
    Add(kHeld, 300'000);
    CheckClosed({}, 60'000);
    CPPUNIT_ASSERT(budget_.IsExceeded());
    Add(kIncoming, 1'000);
    CheckClosed({2}, 60'000);
  }

  void input_behind_a_request_in_progress_does_not_close_it() {
    Add(kHeld, 1'100'000).Set(kIncoming, 60'000);
    CheckClosed({}, 60'000);
  }

  void slow_reader_is_closed_before_an_incomplete_request() {
    Add(kIncoming, 600'000).RecordTransfer(600'000, At(9'000));
    Add(kUnsent, 500'000);
    CheckClosed({1}, 9'500);
  }

  // Guards against a response that is cut because its request took long.
  void response_just_begun_is_not_stalled() {
    memory_account& served = Add(kHeld, 1'000);
    served.RestartProgress(At(9'000));
    served.Set(kUnsent, 500'000);
    Add(kIncoming, 600'000).RecordTransfer(600'000, At(9'000));
    CheckClosed({1}, 9'500);
  }

  void active_response_is_closed_last() {
    Add(kEndpoint, 600'000);
    Add(kEndpoint, 700'000);
    Add(kIncoming, 10'000);
    CheckClosed({2, 1}, 100);
  }

  void closes_until_the_rest_is_within_the_limit() {
    for (std::size_t i = 1; i <= 8; ++i) Add(kIncoming, i * 50'000);
    CheckClosed({7, 6, 5}, 5'000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{750'000}, budget_.total());
  }

  // Guards against many closes that release next to nothing.
  void small_stalled_connections_stay_beside_a_large_one() {
    for (int i = 0; i < 1'000; ++i) Add(kIncoming, 200);
    Add(kIncoming, 900'000).RecordTransfer(900'000, At(5'000));
    CheckClosed({1'000}, 5'100);
  }

  // Guards against the use of an account that ended while another was closed.
  void connection_that_a_close_removes_is_skipped() {
    auto removed = std::make_unique<memory_account>(
        &budget_, At(0), [this] { closed_.push_back(1); });
    memory_account first(&budget_, At(0), [&] {
      closed_.push_back(0);
      removed.reset();
      first.Set(kIncoming, kLimit + 1);
    });
    removed->Set(kIncoming, kLimit);
    first.Set(kIncoming, kLimit + 100);
    CheckClosed({0}, 5'000);
  }

  void connection_that_keeps_its_bytes_causes_no_endless_loop() {
    memory_account kept(&budget_, At(0), [] {});
    kept.Set(kIncoming, 2 * kLimit);
    CheckClosed({}, 5'000);
  }

  void account_that_ends_releases_its_bytes() {
    Add(kIncoming, 1'000);
    Add(kUnsent, 2'000).Set(kHeld, 500);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3'500}, budget_.total());
    CPPUNIT_ASSERT_EQUAL(std::size_t{500}, budget_.held(kHeld));
    accounts_.pop_back();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1'000}, budget_.total());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget_.held(kUnsent));
  }

  void report_has_the_inputs_of_the_decision() {
    Add(kIncoming, 1'200'000);
    budget_.Relieve(At(2'500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, shortages_.size());
    const memory_shortage& shortage = shortages_.front();
    CPPUNIT_ASSERT(shortage.reason == memory_close_reason::kStalled);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1'200'000}, shortage.held[0]);
    CPPUNIT_ASSERT(shortage.stalled == milliseconds(2'500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1'200'000}, shortage.total);
    CPPUNIT_ASSERT_EQUAL(kLimit, shortage.limit);
  }

  void account_without_a_budget_is_not_bounded() {
    memory_account account(nullptr, At(0), [] {});
    account.Set(kIncoming, 100 * kLimit);
    account.Relieve(At(9'000));
    CPPUNIT_ASSERT(!account.IsExceeded());
    CPPUNIT_ASSERT_EQUAL(100 * kLimit, account.total());
  }

  // A body of 4 MiB in progress counts twice.
  void limit_leaves_room_for_single_requests_of_the_largest_size() {
    constexpr std::size_t kRequest = std::size_t{8} * 1024 * 1024;
    CPPUNIT_ASSERT(memory_budget::LimitFor(160, {}) >= 4 * kRequest);
    CPPUNIT_ASSERT(memory_budget::LimitFor(160, {}) <= 10 * kRequest);
    CPPUNIT_ASSERT(memory_budget::LimitFor(0, {}) >= 60 * kRequest);
  }

  // Guards against a process that may hold more than its machine has, because
  // its settings do not name the memory.
  void limit_without_a_setting_fits_on_a_small_machine() {
    constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
    CPPUNIT_ASSERT_EQUAL(memory_budget::LimitFor(160, {}),
                         memory_budget::LimitFor(0, 160 * kMegabyte));
    CPPUNIT_ASSERT_EQUAL(
        memory_budget::LimitFor(0, {}),
        memory_budget::LimitFor(0, std::size_t{64} * 1024 * kMegabyte));
    CPPUNIT_ASSERT_EQUAL(memory_budget::LimitFor(160, {}),
                         memory_budget::LimitFor(160, kMegabyte));
  }

  // Guards against a smaller number than docs/design/memory-budget.md states.
  void six_largest_requests_with_heads_fit_on_the_smallest_vm() {
    constexpr std::size_t kHead = 500;
    constexpr std::size_t kRequest = std::size_t{4} * 1024 * 1024 + kHead;
    memory_budget smallest(memory_budget::LimitFor(160, {}), [] { return 0; });
    memory_account account(&smallest, At(0), [] {});
    account.Set(kHeld, 2 * kRequest * 6);
    CPPUNIT_ASSERT(!smallest.IsExceededFor(kRequest));
    account.Set(kHeld, 2 * kRequest * 7);
    CPPUNIT_ASSERT(smallest.IsExceededFor(kRequest));
    CPPUNIT_ASSERT(!smallest.IsExceededFor(kHead));
  }

  // Guards against callers that are closed as stalled after their process was
  // frozen, before larger ones that are not.
  void pause_of_the_process_is_no_stall_of_its_callers() {
    budget_.Tick(At(0));
    Add(kIncoming, 300'000);
    budget_.Tick(At(100));
    budget_.Tick(At(9'000));
    Add(kIncoming, 900'000).RecordTransfer(900'000, At(9'000));
    CheckClosed({1}, 9'000);
    for (int time = 9'100; time <= 11'000; time += 100) budget_.Tick(At(time));
    Add(kIncoming, 900'000).RecordTransfer(900'000, At(11'000));
    CheckClosed({1, 0}, 11'000);
  }

  void retry_after_varies_within_its_range() {
    const auto first = budget_.RetryAfter();
    const auto second = budget_.RetryAfter();
    CPPUNIT_ASSERT(first != second);
    for (const auto& time : {first, second}) {
      CPPUNIT_ASSERT(time >= milliseconds(500) && time < milliseconds(2'000));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(memory_budget_test);

}  // namespace marjoramsill
