#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>
#include <vector>

#include "process/entry/pool_table.h"
#include "process/placement/endpoint_pool.h"
#include "process/placement/stated_terms.h"

namespace marjoramsill {

using std::chrono::milliseconds;

/// Pools with endpoints in evacuated failure domains.
class evacuated_pool_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(evacuated_pool_test);
  CPPUNIT_TEST(evacuated_endpoint_gets_no_requests);
  CPPUNIT_TEST(resumed_stream_and_retry_do_not_go_to_an_evacuated_endpoint);
  CPPUNIT_TEST(endpoint_that_joins_an_evacuated_domain_gets_no_requests);
  CPPUNIT_TEST(withdrawal_brings_the_endpoints_back);
  CPPUNIT_TEST(load_bound_counts_evacuated_endpoints_as_idle);
  CPPUNIT_TEST(pool_without_another_domain_has_no_place_and_no_wait);
  CPPUNIT_TEST(evacuated_endpoint_keeps_its_calls_and_is_a_cache_source);
  CPPUNIT_TEST(pools_that_come_later_know_the_evacuated_domains);
  CPPUNIT_TEST(return_of_a_domain_is_reported_once);
  CPPUNIT_TEST_SUITE_END();

  static endpoint_record MakeRecord(int number) {
    endpoint_record record;
    record.id = endpoint_id("e" + std::to_string(number));
    record.pool = model_id("chat");
    record.address = "10.0.0." + std::to_string(number + 1) + ":8080";
    record.domain = failure_domain_id("d" + std::to_string(number % 3));
    record.software = "v1";
    record.slots = 16;
    record.incarnation = incarnation_number(1);
    record.sequence = 1;
    return record;
  }

  static endpoint_pool Pool(int endpoints) {
    placement_settings settings;
    settings.domain = failure_domain_id("d0");
    endpoint_pool pool(settings, std::mt19937_64(1));
    pool.SetCacheCapacity(token_count(1'000'000));
    for (int i = 0; i < endpoints; ++i) pool.Apply(MakeRecord(i));
    return pool;
  }

  static request_demand Demand(std::uint64_t session) {
    request_demand demand;
    demand.parts = {{1, token_count(500)},
                    {session, token_count(10'000)},
                    {session * 7, token_count(300)}};
    demand.prompt = token_count(10'800);
    return demand;
  }

  static std::vector<failure_domain_id> Domains(
      const std::vector<std::string>& names) {
    std::vector<failure_domain_id> domains;
    domains.reserve(names.size());
    for (const std::string& name : names) domains.emplace_back(name);
    return domains;
  }

  /// Requests out of 200 that are placed in the domain.
  int CountIn(endpoint_pool& pool, const std::string& domain,
              const placement_limits& limits = {}) {
    int count = 0;
    for (std::uint64_t i = 0; i < 200; ++i) {
      const auto choice = pool.Choose(Demand(i), limits, now_);
      CPPUNIT_ASSERT(choice.has_value());
      pool.RecordDemand(Demand(i));
      count += choice->endpoint->record().domain == failure_domain_id(domain);
    }
    return count;
  }

  steady_time now_{milliseconds(100'000)};

 public:
  void evacuated_endpoint_gets_no_requests() {
    endpoint_pool pool = Pool(9);
    CPPUNIT_ASSERT(CountIn(pool, "d1") > 0);
    pool.SetEvacuated(Domains({"d1"}), now_);
    CPPUNIT_ASSERT_EQUAL(0, CountIn(pool, "d1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, pool.CountServing());
    for (const endpoint_record& probed : pool.PickServing(9)) {
      CPPUNIT_ASSERT(probed.domain != failure_domain_id("d1"));
    }
  }

  // A resumed stream is bound to a software version; a retry excludes the
  // endpoints that were tried.
  void resumed_stream_and_retry_do_not_go_to_an_evacuated_endpoint() {
    endpoint_pool pool = Pool(3);
    pool.SetEvacuated(Domains({"d1"}), now_);
    placement_limits limits;
    limits.software = DigestOfSoftware(MakeRecord(1));
    CPPUNIT_ASSERT_EQUAL(0, CountIn(pool, "d1", limits));
    limits.tried = {endpoint_id("e0"), endpoint_id("e2")};
    CPPUNIT_ASSERT(!pool.Choose(Demand(1), limits, now_));
    CPPUNIT_ASSERT(!pool.CanServe(limits, now_));
  }

  void endpoint_that_joins_an_evacuated_domain_gets_no_requests() {
    endpoint_pool pool = Pool(3);
    pool.SetEvacuated(Domains({"d1"}), now_);
    pool.Apply(MakeRecord(4));
    endpoint_record moved = MakeRecord(2);
    moved.domain = failure_domain_id("d1");
    moved.incarnation = incarnation_number(2);
    pool.Apply(moved);
    CPPUNIT_ASSERT_EQUAL(0, CountIn(pool, "d1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.CountServing());
  }

  void withdrawal_brings_the_endpoints_back() {
    endpoint_pool pool = Pool(9);
    pool.SetEvacuated(Domains({"d1", "d2"}), now_);
    CPPUNIT_ASSERT_EQUAL(200, CountIn(pool, "d0"));
    pool.SetEvacuated(Domains({"d2"}), now_);
    CPPUNIT_ASSERT(CountIn(pool, "d1") > 0);
    CPPUNIT_ASSERT_EQUAL(0, CountIn(pool, "d2"));
  }

  // Guards against a bound that rises because the loaded endpoints alone count:
  // the others would then hold more than twice the mean of the whole pool.
  void load_bound_counts_evacuated_endpoints_as_idle() {
    endpoint_pool pool = Pool(3);
    for (const int number : {0, 2}) {
      endpoint_estimate& endpoint = *pool.Find(MakeRecord(number).id);
      for (int i = 0; i < 12; ++i) endpoint.OnCallStart(now_);
    }
    const auto before = pool.FindFull({}, now_);
    pool.SetEvacuated(Domains({"d1"}), now_);
    const auto after = pool.FindFull({}, now_);
    CPPUNIT_ASSERT(before && after);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(8, before->pool_mean, 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(8, after->pool_mean, 0.01);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, after->candidates);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, after->left_out);
  }

  // Guards against callers who wait for a place that cannot become free.
  void pool_without_another_domain_has_no_place_and_no_wait() {
    endpoint_pool pool = Pool(3);
    for (int i = 0; i < 3; ++i) {
      stated_terms stated;
      stated.limit = 1;
      pool.Find(MakeRecord(i).id)->terms().Record(stated, true, 0, now_);
    }
    pool.SetEvacuated(Domains({"d0", "d1", "d2"}), now_);
    CPPUNIT_ASSERT(!pool.Choose(Demand(1), {}, now_));
    CPPUNIT_ASSERT(!pool.CanServe({}, now_));
    CPPUNIT_ASSERT(!pool.HasPlace({}, now_));
    CPPUNIT_ASSERT(!pool.LimitWait({}, now_));
    CPPUNIT_ASSERT(!pool.PauseWait({}, now_));
    CPPUNIT_ASSERT(!pool.FindFull({}, now_));
    CPPUNIT_ASSERT(!pool.OldestWait());
  }

  void evacuated_endpoint_keeps_its_calls_and_is_a_cache_source() {
    endpoint_pool pool = Pool(3);
    const request_demand demand = Demand(3);
    const auto first = pool.Choose(demand, {}, now_);
    CPPUNIT_ASSERT(first.has_value());
    pool.RecordDemand(demand);
    endpoint_estimate& endpoint = *first->endpoint;
    endpoint.OnCallStart(now_);
    endpoint.prefixes().Record(demand.parts);
    pool.SetEvacuated({endpoint.record().domain}, now_);
    CPPUNIT_ASSERT_EQUAL(1U, endpoint.in_flight());
    CPPUNIT_ASSERT_EQUAL(0U, pool.InProgress(now_));
    const auto second = pool.Choose(demand, {}, now_);
    CPPUNIT_ASSERT(second.has_value());
    CPPUNIT_ASSERT(second->endpoint != &endpoint);
    CPPUNIT_ASSERT_EQUAL(endpoint.record().address, second->fetch_from);
  }

  void pools_that_come_later_know_the_evacuated_domains() {
    pool_table pools({}, {}, std::mt19937_64(1),
                     [](const endpoint_record& /*changed*/) {});
    pools.SetEvacuated(Domains({"d1"}), now_);
    pools.Merge({MakeRecord(0), MakeRecord(1)}, now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         pools.Pool(model_id("chat"))->CountServing());
  }

  // Guards against endpoints that count as warm after a withdrawal.
  void return_of_a_domain_is_reported_once() {
    pool_table pools({}, {}, std::mt19937_64(1),
                     [](const endpoint_record& /*changed*/) {});
    std::vector<failure_domain_id> returned;
    pools.OnDomainReturn(
        [&returned](const failure_domain_id& domain, steady_time /*now*/) {
          returned.push_back(domain);
        });
    pools.SetEvacuated(Domains({"d1", "d2"}), now_);
    CPPUNIT_ASSERT(returned.empty());
    pools.SetEvacuated(Domains({"d0", "d2"}), now_);
    CPPUNIT_ASSERT(returned == Domains({"d1"}));
    pools.SetEvacuated(Domains({"d0", "d2"}), now_);
    CPPUNIT_ASSERT(returned == Domains({"d1"}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuated_pool_test);

}  // namespace marjoramsill
