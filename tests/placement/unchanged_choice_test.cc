#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <cstdint>
#include <random>
#include <string>

#include "process/placement/endpoint_pool.h"

namespace marjoramsill {

using std::chrono::milliseconds;

/// Pools whose endpoints state no duration of work must choose exactly as
/// before speed was estimated.
class unchanged_choice_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(unchanged_choice_test);
  CPPUNIT_TEST(pool_without_stated_durations_chooses_as_before);
  CPPUNIT_TEST_SUITE_END();

  static endpoint_record MakeRecord(int number) {
    endpoint_record record;
    record.id = endpoint_id("e" + std::to_string(number));
    record.pool = model_id("chat");
    record.address = "10.0.0." + std::to_string(number + 1) + ":8080";
    record.domain = failure_domain_id("d" + std::to_string(number % 3));
    record.slots = 8;
    record.incarnation = incarnation_number(1);
    record.sequence = 1;
    return record;
  }

  static void Mix(std::uint64_t& digest, std::uint64_t value) {
    constexpr std::uint64_t kPrime = 1'099'511'628'211;
    digest = (digest ^ value) * kPrime;
  }

 public:
  void pool_without_stated_durations_chooses_as_before() {
    // Digest of the 20,000 choices of commit ae7848f, and of the costs in
    // microseconds behind them.
    constexpr std::uint64_t kEarlierDigest = 16'386'007'537'643'355'954U;
    std::mt19937_64 random(20'261'207);
    placement_settings settings;
    settings.domain = failure_domain_id("d0");
    endpoint_pool pool(settings, std::mt19937_64(7));
    pool.SetCacheCapacity(token_count(100'000));
    for (int i = 0; i < 17; ++i) pool.Apply(MakeRecord(i));
    steady_time now{milliseconds(100'000)};
    std::uint64_t digest = 14'695'981'039'346'656'037U;
    for (std::uint64_t i = 0; i < 20'000; ++i) {
      now += milliseconds(random() % 8);
      const std::uint64_t session = random() % 60;
      request_demand demand;
      demand.parts = {{1, token_count(500)},
                      {10 + session, token_count(100 + 150 * session)},
                      {1'000 + i, token_count(300)}};
      demand.prompt = token_count(900 + 150 * session);
      endpoint_estimate& other =
          *pool.Find(MakeRecord(static_cast<int>(random() % 17)).id);
      const std::uint64_t event = random() % 8;
      if (event < 3 && other.in_flight() > 0) other.OnCallEnd(now);
      const auto running = static_cast<std::uint32_t>(random() % 9);
      const auto waiting = static_cast<std::uint32_t>(random() % 3);
      if (event == 3) other.RecordLoad({running, waiting, 8}, now);
      if (event == 4) {
        other.RecordSharedLoad({running, waiting, 8}, now - milliseconds(90));
      }
      if (event == 5) other.OnResponse(random() % 4 != 0);
      if (event == 6) pool.RecordDuration(milliseconds(50 + random() % 400));
      const auto choice = pool.Choose(demand, {}, now);
      pool.RecordDemand(demand);
      if (!choice) {
        Mix(digest, 1);
        continue;
      }
      const std::string id = choice->endpoint->record().id.value();
      Mix(digest, std::stoull(id.substr(1)));
      Mix(digest, static_cast<std::uint64_t>(
                      std::llround(choice->cost.Total() * 1'000)));
      choice->endpoint->OnCallStart(now);
      choice->endpoint->prefixes().Record(demand.parts);
    }
    CPPUNIT_ASSERT_EQUAL(kEarlierDigest, digest);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unchanged_choice_test);

}  // namespace marjoramsill
