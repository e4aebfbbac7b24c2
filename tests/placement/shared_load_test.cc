#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>

#include "entry_fleet_model.h"
#include "process/placement/endpoint_estimate.h"

namespace marjoramsill {

using std::chrono::milliseconds;

/// With many small entry VMs, each receives few load reports itself. Guards
/// against placements that treat every engine without a recent report as idle.
class shared_load_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(shared_load_test);
  CPPUNIT_TEST(exchange_of_load_reports_reduces_computed_tokens);
  CPPUNIT_TEST(many_entry_vms_stay_within_the_load_bound);
  CPPUNIT_TEST(endpoints_beside_limited_ones_stay_within_the_load_bound);
  CPPUNIT_TEST(frequent_sessions_are_computed_by_few_engines);
  CPPUNIT_TEST(load_with_a_sample_only_has_the_age_of_the_sample);
  CPPUNIT_TEST_SUITE_END();

  /// Maximum share of the requests in any window that may be sent to an engine
  /// above the load bound.
  static constexpr double kMaxShareAboveBound = 0.03;
  /// Fewer in a window are within the rule of the users.
  static constexpr double kMinAboveBound = 20;
  /// Seconds.
  static constexpr std::size_t kWindow = 5;
  /// Every engine has named its limit within 2 s, and the users' `contactMs`
  /// has passed since.
  static constexpr milliseconds kWarmUp{5'000};

  static entry_fleet_model::parameters ManyEntries(std::uint32_t seed) {
    entry_fleet_model::parameters chosen;
    chosen.entry_count = 71;
    chosen.engine_count = 90;
    chosen.requests_per_s = 767;
    chosen.session_count = 240;
    chosen.exchange_interval = milliseconds(400);
    chosen.seed = seed;
    return chosen;
  }

  static std::uint64_t ComputedTokens(
      const entry_fleet_model::parameters& chosen) {
    entry_fleet_model fleet(chosen);
    fleet.Run(milliseconds(8'000));
    return fleet.computed_tokens();
  }

  static double MaxShareAboveBound(const entry_fleet_model::parameters& chosen,
                                   milliseconds warm_up = milliseconds(0)) {
    entry_fleet_model fleet(chosen);
    fleet.Run(warm_up);
    std::deque<entry_fleet_model::span_counts> window;
    double worst = 0;
    for (int second = 0; second < 12; ++second) {
      window.push_back(fleet.Run(milliseconds(1'000)));
      if (window.size() < kWindow) continue;
      double arrivals = 0;
      double above = 0;
      for (const auto& span : window) {
        arrivals += span.arrivals;
        above += span.above_bound;
      }
      if (above >= kMinAboveBound) worst = std::max(worst, above / arrivals);
      window.pop_front();
    }
    return worst;
  }

 public:
  // Guards against a duration measured before a crash that counts as a response
  // after it.
  void load_with_a_sample_only_has_the_age_of_the_sample() {
    const steady_time start{std::chrono::seconds(100)};
    endpoint_estimate endpoint(
        endpoint_record(), token_count(0),
        std::make_shared<endpoint_terms>(endpoint_digest()));
    endpoint.speed().evidence().Add(1, start);
    const auto load = endpoint.TakeUnsharedLoad(start + milliseconds(300));
    CPPUNIT_ASSERT(load && load->sample);
    CPPUNIT_ASSERT_EQUAL(milliseconds(300).count(), load->age.count());
  }

  void exchange_of_load_reports_reduces_computed_tokens() {
    // Without exchanged reports the mean load is underestimated, so that
    // engines with a cached prefix seem overloaded and are not chosen.
    std::uint64_t with = 0;
    std::uint64_t without = 0;
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
      entry_fleet_model::parameters chosen = ManyEntries(seed);
      with += ComputedTokens(chosen);
      chosen.exchange_interval = milliseconds(0);
      without += ComputedTokens(chosen);
    }
    CPPUNIT_ASSERT_LESS(without, with);
  }

  void many_entry_vms_stay_within_the_load_bound() {
    // All entry VMs see the same report of a loaded engine at the same time.
    // If all leave it and return together, its load oscillates between idle and
    // overloaded.
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
      CPPUNIT_ASSERT_LESS(kMaxShareAboveBound,
                          MaxShareAboveBound(ManyEntries(seed)));
    }
  }

  void endpoints_beside_limited_ones_stay_within_the_load_bound() {
    // Guards against all entry VMs sending to the few engines without a limit
    // whenever a late report shows room there.
    for (std::uint32_t seed = 1; seed <= 3; ++seed) {
      entry_fleet_model::parameters chosen = ManyEntries(seed);
      chosen.slots = 64;
      chosen.limited_engines = 67;
      chosen.limit_per_s = 4;
      CPPUNIT_ASSERT_LESS(kMaxShareAboveBound,
                          MaxShareAboveBound(chosen, kWarmUp));
      chosen.entry_count = 6;
      chosen.engine_count = 9;
      chosen.limited_engines = 7;
      chosen.requests_per_s = 92;
      chosen.exchange_interval = milliseconds(200);
      CPPUNIT_ASSERT_LESS(kMaxShareAboveBound,
                          MaxShareAboveBound(chosen, kWarmUp));
    }
  }

  void frequent_sessions_are_computed_by_few_engines() {
    entry_fleet_model::parameters chosen = ManyEntries(1);
    chosen.session_skew = 1.5;
    constexpr std::uint64_t kTokensOfAllSessions =
        (240 / 3) * 10'000 + (240 - 240 / 3) * 1'500;
    // Two preferred endpoints for each session, and two others while both are
    // loaded.
    CPPUNIT_ASSERT_LESS(4 * kTokensOfAllSessions, ComputedTokens(chosen));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shared_load_test);

}  // namespace marjoramsill
