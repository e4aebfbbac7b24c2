#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "process/placement/endpoint_pool.h"

namespace marjoramsill {

using std::chrono::milliseconds;
using std::chrono::seconds;

class warm_up_pool_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(warm_up_pool_test);
  CPPUNIT_TEST(endpoint_that_turns_cold_by_itself_stays_within_the_bound);
  CPPUNIT_TEST(domain_that_returns_at_once_stays_within_the_bound);
  CPPUNIT_TEST(cold_endpoint_gets_requests_from_the_start);
  CPPUNIT_TEST(prefix_of_a_cold_endpoint_goes_to_no_third_endpoint);
  CPPUNIT_TEST(restarted_vm_begins_without_an_allowance);
  CPPUNIT_TEST(pool_without_the_limit_chooses_as_before);
  CPPUNIT_TEST(pool_with_the_limit_and_warm_endpoints_chooses_as_before);
  CPPUNIT_TEST(wait_for_cold_endpoints_ends_with_the_warm_up);
  CPPUNIT_TEST(silent_endpoint_counts_as_cold);
  CPPUNIT_TEST(assumed_coldness_ends_in_time_and_not_by_a_record);
  CPPUNIT_TEST(endpoint_after_a_failed_connection_may_be_cold);
  CPPUNIT_TEST(vm_without_contact_uses_endpoints_that_may_be_cold_as_the_last);
  CPPUNIT_TEST(endpoint_beside_cold_ones_is_not_divided_for_their_emptiness);
  CPPUNIT_TEST_SUITE_END();

  /// The figures of a deployment: 7.9 requests per second, of which 16.85 in
  /// any second are allowed.
  static constexpr double kRate = 7.9;
  static constexpr warm_up_bound kBound{1.5, 5};
  static constexpr double kMostPerSecond = kRate * 1.5 + 5;
  static constexpr milliseconds kColdTime{20'000};

  struct call_end {
    steady_time at;
    std::size_t vm;
    endpoint_id endpoint;
  };

  /// Entry VMs that place requests of one pool, each by itself.
  struct fleet {
    std::deque<endpoint_pool> vms;
    std::map<endpoint_id, std::deque<steady_time>> window;
    std::map<endpoint_id, std::size_t> most;
    std::map<endpoint_id, std::size_t> sent;
    std::deque<call_end> calls;
    int refused = 0;
  };

  static endpoint_record MakeRecord(int number) {
    endpoint_record record;
    record.id = endpoint_id("e" + std::to_string(number));
    record.pool = model_id("chat");
    record.address = "10.0.0." + std::to_string(number + 1) + ":8080";
    record.domain = failure_domain_id("d" + std::to_string(number % 3));
    record.slots = 16;
    record.incarnation = incarnation_number(1);
    record.sequence = 1;
    return record;
  }

  static endpoint_pool MakePool(int endpoints, bool has_limit, unsigned seed) {
    placement_settings settings;
    settings.domain = failure_domain_id("d" + std::to_string(seed % 3));
    settings.warm_up = kBound;
    endpoint_pool pool(settings, std::mt19937_64(seed));
    if (has_limit) pool.SetWarmUp(warm_up_spec{kRate, kColdTime});
    for (int i = 0; i < endpoints; ++i) pool.Apply(MakeRecord(i));
    return pool;
  }

  static void SetCold(endpoint_pool& pool, int number, milliseconds left,
                      steady_time now) {
    pool.Find(MakeRecord(number).id)->SetColdFor(left, now);
  }

  static fleet MakeFleet(std::uint32_t vms, int endpoints, bool has_limit) {
    fleet made;
    for (std::uint32_t i = 0; i < vms; ++i) {
      made.vms.push_back(MakePool(endpoints, has_limit, i + 1));
      made.vms.back().SetPosition({vms, i});
    }
    return made;
  }

  /// Requests arrive at random VMs. Each takes 300 ms.
  void Play(fleet& played, double per_second, milliseconds span) {
    const steady_time end = now_ + span;
    std::poisson_distribution<int> arrivals(per_second / 200);
    for (; now_ < end; now_ += milliseconds(5)) {
      while (!played.calls.empty() && played.calls.front().at <= now_) {
        const call_end& call = played.calls.front();
        played.vms[call.vm].Find(call.endpoint)->OnCallEnd(now_);
        played.calls.pop_front();
      }
      for (int i = arrivals(random_); i > 0; --i) Place(played);
      for (auto& [id, times] : played.window) {
        while (!times.empty() && now_ - times.front() >= seconds(1)) {
          times.pop_front();
        }
      }
    }
  }

  void Place(fleet& played) {
    const std::size_t vm = random_() % played.vms.size();
    request_demand demand;
    const std::uint64_t session = random_() % 300;
    demand.parts = {{session, token_count(700)}};
    demand.prompt = token_count(830);
    const auto choice = played.vms[vm].Choose(demand, {}, now_);
    if (!choice) {
      ++played.refused;
      return;
    }
    choice->endpoint->OnCallStart(now_);
    const endpoint_id id = choice->endpoint->record().id;
    played.calls.push_back({now_ + milliseconds(300), vm, id});
    std::deque<steady_time>& times = played.window[id];
    times.push_back(now_);
    ++played.sent[id];
    played.most[id] = std::max(played.most[id], times.size());
  }

  static void ClearCounts(fleet& played) {
    played.window.clear();
    played.most.clear();
    played.sent.clear();
    played.refused = 0;
  }

  /// The most that endpoint 0 gets in a second after all VMs know within 100 ms
  /// that it has turned cold. Requests of the second before count.
  std::size_t MostAfterTurningCold(bool has_limit) {
    fleet played = MakeFleet(71, 30, has_limit);
    Play(played, 600, seconds(8));
    for (std::size_t i = 0; i < played.vms.size(); ++i) {
      if (i % 8 == 0) Play(played, 600, milliseconds(10));
      SetCold(played.vms[i], 0, kColdTime, now_);
    }
    played.most.clear();
    Play(played, 600, seconds(10));
    return played.most[MakeRecord(0).id];
  }

  /// Requests that each endpoint gets of `count` ones which stay there.
  std::map<std::string, int> Fill(endpoint_pool& pool, int count) {
    std::map<std::string, int> got;
    for (int i = 0; i < count; ++i) {
      const auto choice = pool.Choose({}, {}, now_);
      if (!choice) break;
      choice->endpoint->OnCallStart(now_);
      ++got[choice->endpoint->record().id.value()];
    }
    return got;
  }

  /// The endpoints to which a loaded pool sends requests with one long prefix.
  std::set<endpoint_id> PreferredFor(endpoint_pool& pool) {
    std::set<endpoint_id> chosen;
    request_demand demand;
    demand.parts = {{11, token_count(5'000)}};
    demand.prompt = token_count(5'130);
    for (int i = 0; i < 200; ++i) {
      const auto choice = pool.Choose(demand, {}, now_);
      if (choice) chosen.insert(choice->endpoint->record().id);
    }
    return chosen;
  }

  steady_time now_{seconds(1'000)};
  std::mt19937_64 random_{7};

 public:
  // Guards against entry VMs that go on at the usual rate, which exceeds what a
  // cold endpoint takes. The pool without the limit shows that the load of the
  // model does.
  void endpoint_that_turns_cold_by_itself_stays_within_the_bound() {
    const std::size_t without = MostAfterTurningCold(false);
    const std::size_t with = MostAfterTurningCold(true);
    std::cout << " " << without << " without the limit, " << with
              << " with it, in a second";
    CPPUNIT_ASSERT(without > kMostPerSecond);
    CPPUNIT_ASSERT(with <= kMostPerSecond);
  }

  // Guards against empty cold endpoints that draw the load of a whole pool.
  void domain_that_returns_at_once_stays_within_the_bound() {
    fleet played = MakeFleet(71, 30, true);
    for (endpoint_pool& vm : played.vms) {
      for (int i = 0; i < 30; i += 3) SetCold(vm, i, kColdTime, now_);
    }
    Play(played, 300, seconds(15));
    CPPUNIT_ASSERT_EQUAL(0, played.refused);
    for (int i = 0; i < 30; i += 3) {
      CPPUNIT_ASSERT(played.most[MakeRecord(i).id] <= kMostPerSecond);
    }
  }

  // Guards against cold endpoints that are left out until they are warm, which
  // they would become without any load.
  void cold_endpoint_gets_requests_from_the_start() {
    fleet played = MakeFleet(71, 30, true);
    Play(played, 300, seconds(8));
    ClearCounts(played);
    for (endpoint_pool& vm : played.vms) SetCold(vm, 0, kColdTime, now_);
    Play(played, 300, seconds(5));
    CPPUNIT_ASSERT(played.sent[MakeRecord(0).id] >= 10);
  }

  // Guards against prefixes that are computed at a further endpoint only while
  // one of the two that are preferred for them is cold.
  void prefix_of_a_cold_endpoint_goes_to_no_third_endpoint() {
    for (unsigned vm = 0; vm < 71; ++vm) {
      endpoint_pool pool = MakePool(30, true, vm);
      pool.SetPosition({71, vm});
      for (int call = 0; call < 3; ++call) {
        for (int i = 0; i < 30; ++i) {
          pool.Find(MakeRecord(i).id)->OnCallStart(now_);
        }
      }
      const std::set<endpoint_id> warm = PreferredFor(pool);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, warm.size());
      pool.Find(*warm.begin())->SetColdFor(kColdTime, now_);
      for (const endpoint_id& each : PreferredFor(pool)) {
        CPPUNIT_ASSERT(warm.contains(each));
      }
    }
  }

  // Guards against a process that takes a full share the moment it starts.
  void restarted_vm_begins_without_an_allowance() {
    for (unsigned vm = 0; vm < 71; ++vm) {
      endpoint_pool pool = MakePool(1, true, vm);
      pool.SetPosition({71, vm});
      SetCold(pool, 0, kColdTime, now_);
      CPPUNIT_ASSERT(!pool.Choose({}, {}, now_));
    }
  }

  void pool_without_the_limit_chooses_as_before() {
    endpoint_pool usual = MakePool(12, false, 1);
    endpoint_pool cold = MakePool(12, false, 1);
    for (int i = 0; i < 6; ++i) SetCold(cold, i, kColdTime, now_);
    cold.SetInContact(false);
    cold.AssumeCold(failure_domain_id("d1"), now_ + kColdTime);
    for (int i = 0; i < 500; ++i) {
      request_demand demand;
      demand.parts = {{static_cast<std::uint64_t>(i % 40), token_count(900)}};
      const auto a = usual.Choose(demand, {}, now_);
      const auto b = cold.Choose(demand, {}, now_);
      CPPUNIT_ASSERT_EQUAL(a.has_value(), b.has_value());
      if (!a) break;
      CPPUNIT_ASSERT(a->endpoint->record().id == b->endpoint->record().id);
      CPPUNIT_ASSERT(!b->is_cold);
      a->endpoint->OnCallStart(now_);
      b->endpoint->OnCallStart(now_);
      now_ += milliseconds(3);
    }
  }

  void pool_with_the_limit_and_warm_endpoints_chooses_as_before() {
    endpoint_pool usual = MakePool(12, false, 1);
    endpoint_pool limited = MakePool(12, true, 1);
    for (int i = 0; i < 100; ++i) {
      const auto a = usual.Choose({}, {}, now_);
      const auto b = limited.Choose({}, {}, now_);
      CPPUNIT_ASSERT(a->endpoint->record().id == b->endpoint->record().id);
      now_ += milliseconds(3);
    }
  }

  // Guards against a Retry-After after which the endpoint is still cold, or
  // long after it is warm.
  void wait_for_cold_endpoints_ends_with_the_warm_up() {
    bool has_vm_without_part = false;
    for (std::uint32_t vm = 0; vm < 71; ++vm) {
      endpoint_pool pool = MakePool(1, true, vm);
      pool.SetPosition({71, vm});
      SetCold(pool, 0, milliseconds(9'000), now_);
      CPPUNIT_ASSERT(!pool.Choose({}, {}, now_));
      const auto wait = pool.LimitWait({}, now_);
      CPPUNIT_ASSERT(wait.has_value());
      CPPUNIT_ASSERT(*wait > milliseconds(0));
      CPPUNIT_ASSERT(*wait <= milliseconds(9'200));
      CPPUNIT_ASSERT(pool.Choose({}, {}, now_ + *wait).has_value());
      has_vm_without_part = has_vm_without_part || *wait > milliseconds(9'000);
    }
    CPPUNIT_ASSERT(has_vm_without_part);
  }

  // Guards against requests to an endpoint that has just returned and has sent
  // no heartbeat yet.
  void silent_endpoint_counts_as_cold() {
    endpoint_pool pool = MakePool(1, true, 1);
    endpoint_record record = MakeRecord(0);
    record.phase = endpoint_phase::kSilent;
    pool.Apply(record);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.CountCold(now_));
    CPPUNIT_ASSERT(!pool.Choose({}, {}, now_));
    record.phase = endpoint_phase::kReady;
    pool.Apply(record);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pool.CountCold(now_));
    CPPUNIT_ASSERT(pool.Choose({}, {}, now_).has_value());
  }

  void assumed_coldness_ends_in_time_and_not_by_a_record() {
    endpoint_pool pool = MakePool(3, true, 1);
    pool.AssumeCold(failure_domain_id("d1"), now_ + seconds(3));
    pool.AssumeCold(failure_domain_id("d1"), now_ + seconds(2));
    endpoint_record record = MakeRecord(1);
    record.sequence = 2;
    pool.Apply(record);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.CountCold(now_));
    const auto got = Fill(pool, 12);
    CPPUNIT_ASSERT(!got.contains("e1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.CountCold(now_ + seconds(2)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pool.CountCold(now_ + seconds(3)));
  }

  // Guards against a burst to an endpoint that crashed and has started again
  // before its record shows it.
  void endpoint_after_a_failed_connection_may_be_cold() {
    endpoint_pool pool = MakePool(2, true, 1);
    pool.Find(MakeRecord(0).id)->OnConnectionFailure(now_);
    pool.Find(MakeRecord(0).id)->OnResponse(true);
    CPPUNIT_ASSERT(!Fill(pool, 6).contains("e0"));
    now_ += milliseconds(2'100);
    CPPUNIT_ASSERT(Fill(pool, 6).contains("e0"));
  }

  // Guards against a VM that is cut off and sends the usual load to an endpoint
  // that has started again, and against one that refuses all requests.
  void vm_without_contact_uses_endpoints_that_may_be_cold_as_the_last() {
    endpoint_pool pool = MakePool(2, true, 1);
    pool.SetPosition({71, 3});
    pool.SetInContact(false);
    const endpoint_id first = MakeRecord(0).id;
    pool.Find(first)->OnConnectionFailure(now_);
    now_ += kColdTime - milliseconds(1);
    CPPUNIT_ASSERT(!Fill(pool, 6).contains("e0"));
    endpoint_record ended = MakeRecord(1);
    ended.phase = endpoint_phase::kEnded;
    pool.Apply(ended);
    CPPUNIT_ASSERT(Fill(pool, 1).contains("e0"));
    SetCold(pool, 0, kColdTime, now_);
    CPPUNIT_ASSERT(!pool.Choose({}, {}, now_).has_value());
  }

  // Guards against places of a pool that are divided among the VMs, so that
  // some refuse requests, because its cold endpoints hold few.
  void endpoint_beside_cold_ones_is_not_divided_for_their_emptiness() {
    endpoint_pool pool = MakePool(6, true, 1);
    for (int i = 1; i < 6; ++i) SetCold(pool, i, kColdTime, now_);
    CPPUNIT_ASSERT(Fill(pool, 3)["e0"] == 3);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(warm_up_pool_test);

}  // namespace marjoramsill
