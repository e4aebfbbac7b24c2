#include "process/placement/warm_up_limit.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <vector>

#include "process/placement/warm_up_share.h"

namespace marjoramsill {

using std::chrono::milliseconds;
using std::chrono::seconds;

class warm_up_limit_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(warm_up_limit_test);
  CPPUNIT_TEST(parts_of_any_number_of_vms_stay_within_the_bound);
  CPPUNIT_TEST(two_vms_with_the_same_index_stay_within_the_bound);
  CPPUNIT_TEST(change_of_the_fleet_stays_within_the_bound);
  CPPUNIT_TEST(parts_of_an_endpoint_are_in_all_thirds_of_the_fleet);
  CPPUNIT_TEST(bound_without_slack_is_kept);
  CPPUNIT_TEST(parts_of_any_number_of_vms_use_most_of_the_rate);
  CPPUNIT_TEST(endpoint_that_turns_cold_gets_nothing_saved);
  CPPUNIT_TEST(requests_of_the_second_before_count);
  CPPUNIT_TEST(part_that_returns_brings_nothing_saved);
  CPPUNIT_TEST(part_that_returns_keeps_the_debt);
  CPPUNIT_TEST(wait_ends_when_the_next_request_may_be_sent);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t kOrder = 77;
  static constexpr warm_up_bound kBound{1.5, 5};

  struct vm {
    warm_up_limit limit;
    warm_up_share share;
  };
  struct outcome {
    int sent = 0;
    int most_in_a_second = 0;
  };

  steady_time now_{seconds(1'000)};
  std::deque<steady_time> window_;
  outcome played_;

  std::vector<vm> Fleet(std::uint32_t count, double rate,
                        const warm_up_bound& bound) const {
    std::vector<vm> fleet;
    for (std::uint32_t i = 0; i < count; ++i) {
      fleet.push_back({warm_up_limit(rate, bound), {}});
      // The process has known its place for some time.
      fleet.back().limit.SetPosition({count, i}, now_ - seconds(5));
    }
    return fleet;
  }

  /// All VMs want to send to the cold endpoint every 10 ms.
  void Play(std::vector<vm>& fleet, milliseconds span) {
    const steady_time end = now_ + span;
    for (; now_ < end; now_ += milliseconds(10)) {
      for (vm& each : fleet) {
        while (each.share.HasAllowance(each.limit.PartOf(kOrder, now_), now_)) {
          each.share.Take(now_);
          ++played_.sent;
          window_.push_back(now_);
        }
      }
      while (!window_.empty() && now_ - window_.front() >= seconds(1)) {
        window_.pop_front();
      }
      played_.most_in_a_second =
          std::max(played_.most_in_a_second, static_cast<int>(window_.size()));
    }
  }

  outcome PlayFleet(std::uint32_t count, double rate,
                    const warm_up_bound& bound) {
    window_.clear();
    played_ = {};
    std::vector<vm> fleet = Fleet(count, rate, bound);
    Play(fleet, seconds(20));
    return played_;
  }

 public:
  // Guards against VMs that each keep the rate for themselves, and against
  // saved requests that all VMs send in the same second.
  void parts_of_any_number_of_vms_stay_within_the_bound() {
    for (const std::uint32_t vms : {1U, 2U, 6U, 26U, 71U, 330U}) {
      for (const double rate : {0.2, 1.0, 3.0, 7.9, 18.0, 60.0}) {
        const double most = PlayFleet(vms, rate, kBound).most_in_a_second;
        CPPUNIT_ASSERT(most <= rate * 1.5 + 5);
      }
    }
  }

  // Guards against control processes that count the fleet differently, so that
  // one more VM than intended has a part.
  void two_vms_with_the_same_index_stay_within_the_bound() {
    for (const std::uint32_t vms : {6U, 26U, 71U}) {
      for (std::uint32_t doubled = 0; doubled < vms; ++doubled) {
        window_.clear();
        played_ = {};
        std::vector<vm> fleet = Fleet(vms, 7.9, kBound);
        fleet.push_back(fleet[doubled]);
        Play(fleet, seconds(3));
        CPPUNIT_ASSERT(played_.most_in_a_second <= 7.9 * 1.5 + 5);
      }
    }
  }

  // Guards against a VM that uses its new part while others still use their
  // former ones. The VMs get to know within 0.9 s that one has left. Another
  // one is cut off and never gets to know.
  void change_of_the_fleet_stays_within_the_bound() {
    constexpr std::uint32_t kCount = 71;
    for (const std::uint32_t gone : {0U, 17U, 70U}) {
      window_.clear();
      played_ = {};
      std::vector<vm> fleet = Fleet(kCount, 7.9, kBound);
      Play(fleet, seconds(5));
      const std::uint32_t cut_off = (gone + 30) % kCount;
      for (std::uint32_t step = 0; step < 9; ++step) {
        for (std::uint32_t i = step; i < kCount; i += 9) {
          if (i == cut_off || i == gone) continue;
          fleet[i].limit.SetPosition({kCount - 1, i > gone ? i - 1 : i}, now_);
        }
        Play(fleet, milliseconds(100));
      }
      Play(fleet, seconds(10));
      CPPUNIT_ASSERT(played_.most_in_a_second <= 7.9 * 1.5 + 5);
    }
  }

  // Guards against a failure domain whose loss takes all VMs that send to a
  // cold endpoint. The VMs of a domain may have consecutive places.
  void parts_of_an_endpoint_are_in_all_thirds_of_the_fleet() {
    for (const std::uint32_t count : {26U, 71U}) {
      const std::vector<vm> fleet = Fleet(count, 7.9, kBound);
      for (std::uint64_t order = 0; order < count; ++order) {
        std::vector<int> parts(3);
        for (std::uint32_t i = 0; i < count; ++i) {
          if (fleet[i].limit.PartOf(order, now_) > 0) ++parts[i * 3 / count];
        }
        CPPUNIT_ASSERT(*std::min_element(parts.begin(), parts.end()) > 0);
      }
    }
  }

  // Guards against saved requests above a bound that leaves no room for them.
  void bound_without_slack_is_kept() {
    for (const std::uint32_t vms : {1U, 6U, 71U}) {
      for (const double rate : {1.0, 4.0, 7.9, 18.0}) {
        CPPUNIT_ASSERT(PlayFleet(vms, rate, {1, 0}).most_in_a_second <= rate);
      }
    }
  }

  // Guards against cold endpoints that never warm up under load.
  void parts_of_any_number_of_vms_use_most_of_the_rate() {
    for (const std::uint32_t vms : {2U, 6U, 26U, 71U, 330U}) {
      for (const double rate : {1.0, 3.0, 7.9, 18.0, 60.0}) {
        CPPUNIT_ASSERT(PlayFleet(vms, rate, kBound).sent >= 0.7 * rate * 20);
      }
    }
  }

  void endpoint_that_turns_cold_gets_nothing_saved() {
    warm_up_share share;
    CPPUNIT_ASSERT(!share.HasAllowance(2, now_));
    CPPUNIT_ASSERT(!share.HasAllowance(2, now_ + milliseconds(490)));
    CPPUNIT_ASSERT(share.HasAllowance(2, now_ + milliseconds(510)));
    share.OnWarm();
    CPPUNIT_ASSERT(!share.HasAllowance(2, now_ + seconds(60)));
  }

  // Guards against a full part in the second in which requests to the then warm
  // endpoint are still under way.
  void requests_of_the_second_before_count() {
    warm_up_share share;
    for (int i = 0; i < 8; ++i) share.Take(now_);
    CPPUNIT_ASSERT(!share.HasAllowance(2, now_));
    CPPUNIT_ASSERT(!share.HasAllowance(2, now_ + milliseconds(1'490)));
    CPPUNIT_ASSERT(share.HasAllowance(2, now_ + milliseconds(1'510)));
  }

  // Guards against saved requests of more VMs than share at a time.
  void part_that_returns_brings_nothing_saved() {
    warm_up_share share;
    CPPUNIT_ASSERT(!share.HasAllowance(2, now_));
    CPPUNIT_ASSERT(share.HasAllowance(2, now_ + seconds(2)));
    CPPUNIT_ASSERT(!share.HasAllowance(0, now_ + seconds(3)));
    CPPUNIT_ASSERT(!share.HasAllowance(2, now_ + seconds(4)));
    CPPUNIT_ASSERT(!share.HasAllowance(2, now_ + milliseconds(4'490)));
    CPPUNIT_ASSERT(share.HasAllowance(2, now_ + milliseconds(4'510)));
  }

  // Guards against requests beyond the part that no longer count once the part
  // was lost for a moment.
  void part_that_returns_keeps_the_debt() {
    warm_up_share share;
    CPPUNIT_ASSERT(!share.HasAllowance(2, now_));
    share.Take(now_);
    CPPUNIT_ASSERT(!share.HasAllowance(0, now_));
    CPPUNIT_ASSERT(!share.HasAllowance(2, now_));
    CPPUNIT_ASSERT(!share.HasAllowance(2, now_ + milliseconds(990)));
    CPPUNIT_ASSERT(share.HasAllowance(2, now_ + milliseconds(1'010)));
  }

  void wait_ends_when_the_next_request_may_be_sent() {
    warm_up_share share;
    const auto wait = share.Wait(4, now_);
    CPPUNIT_ASSERT(wait.has_value());
    CPPUNIT_ASSERT(!share.HasAllowance(4, now_ + *wait - milliseconds(1)));
    CPPUNIT_ASSERT(share.HasAllowance(4, now_ + *wait));
    CPPUNIT_ASSERT(!warm_up_share().Wait(0, now_).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(warm_up_limit_test);

}  // namespace marjoramsill
