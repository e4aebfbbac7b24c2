#include "process/choice/endpoint_chooser.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdio>
#include <set>
#include <string>

#include "allocation_counter.h"

namespace marjoramsill {

using std::chrono::milliseconds;
using std::chrono::seconds;

class endpoint_chooser_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_chooser_test);
  CPPUNIT_TEST(chat_stays_on_its_endpoint);
  CPPUNIT_TEST(own_domain_comes_first_and_others_are_overflow);
  CPPUNIT_TEST(endpoint_excluded_or_refused_is_skipped);
  CPPUNIT_TEST(endpoint_draining_moves_only_its_chats);
  CPPUNIT_TEST(failure_reason_distinguishes_causes);
  CPPUNIT_TEST(stale_preferred_endpoint_is_returned_for_a_probe);
  CPPUNIT_TEST(loads_of_one_router_stay_within_the_bound);
  CPPUNIT_TEST(hot_key_has_several_preferred_endpoints);
  CPPUNIT_TEST(hint_is_followed_until_dropped);
  CPPUNIT_TEST(placement_replaced_keeps_loads);
  CPPUNIT_TEST(choice_among_2100_does_not_allocate_and_examines_few);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<placement_endpoint> Endpoints(int domains, int each) {
    std::vector<placement_endpoint> made;
    for (int i = 0; i < domains * each; ++i) {
      made.push_back({endpoint_id("e" + std::to_string(i)),
                      failure_domain_id("d" + std::to_string(i / each)), 32,
                      8000, false});
    }
    return made;
  }

  endpoint_chooser Chooser(std::vector<placement_endpoint> endpoints) {
    endpoint_chooser_settings settings;
    settings.own_domain = failure_domain_id("d0");
    endpoint_chooser made(settings, placement::Build(endpoints, 1));
    Refresh(made);
    return made;
  }

  void Refresh(endpoint_chooser& chooser, std::uint32_t load = 8) {
    for (endpoint_index i = 0; i < chooser.table().endpoints().size(); ++i) {
      chooser.SetCondition(i, {now_ + seconds(60), true});
      chooser.OnReport(i, load, now_);
    }
    chooser.Tick(now_);
  }

  static choice_request Request(int chat) {
    choice_request request;
    request.key = PlacementKey("chat-" + std::to_string(chat));
    request.prefix_tokens = token_count(2000);
    return request;
  }

  const steady_time now_{seconds(100)};

 public:
  // Guards against chats that lose their prefix cache with each new request.
  void chat_stays_on_its_endpoint() {
    endpoint_chooser one = Chooser(Endpoints(1, 9));
    endpoint_chooser two = Chooser(Endpoints(1, 9));
    for (int chat = 0; chat < 200; ++chat) {
      const auto first = one.Choose(Request(chat), now_);
      const auto second = two.Choose(Request(chat), now_);
      CPPUNIT_ASSERT(first.has_value() && second.has_value());
      CPPUNIT_ASSERT(first.value().is_preferred);
      CPPUNIT_ASSERT_EQUAL(first.value().index, second.value().index);
    }
  }

  // Guards against unnecessary traffic between failure domains, and against a
  // failure domain that stays overloaded while another one is idle.
  void own_domain_comes_first_and_others_are_overflow() {
    endpoint_chooser chooser = Chooser(Endpoints(3, 3));
    const auto preferred = chooser.Choose(Request(1), now_);
    CPPUNIT_ASSERT(preferred.value().index < 3);
    for (endpoint_index i = 0; i < 3; ++i) {
      chooser.OnReport(i, 30, now_ + milliseconds(1));
    }
    chooser.Tick(now_ + milliseconds(1));
    const auto other = chooser.Choose(Request(1), now_ + milliseconds(1));
    CPPUNIT_ASSERT(other.value().index >= 3);
  }

  // Guards against a retry on the endpoint that has just failed.
  void endpoint_excluded_or_refused_is_skipped() {
    endpoint_chooser chooser = Chooser(Endpoints(1, 3));
    choice_request request = Request(1);
    std::vector<endpoint_index> tried;
    std::set<endpoint_index> chosen;
    for (int i = 0; i < 2; ++i) {
      request.excluded = tried;
      const auto choice = chooser.Choose(request, now_);
      CPPUNIT_ASSERT(choice.has_value());
      tried.push_back(choice.value().index);
      chosen.insert(choice.value().index);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, chosen.size());
    for (endpoint_index i = 0; i < 3; ++i) {
      if (!chosen.contains(i)) {
        chooser.SetCondition(i, {now_ + seconds(60), false});
      }
    }
    request.excluded = tried;
    const auto none = chooser.Choose(request, now_);
    CPPUNIT_ASSERT(!none);
    CPPUNIT_ASSERT(none.error().reason == choice_failure_reason::kNoEndpoint);
  }

  // Guards against new requests to a draining endpoint, and against moving
  // chats of other endpoints.
  void endpoint_draining_moves_only_its_chats() {
    auto endpoints = Endpoints(1, 9);
    endpoint_chooser before = Chooser(endpoints);
    endpoints[4].draining = true;
    endpoint_chooser after = Chooser(endpoints);
    for (int chat = 0; chat < 500; ++chat) {
      const auto old = before.Choose(Request(chat), now_).value().index;
      const auto now = after.Choose(Request(chat), now_).value().index;
      CPPUNIT_ASSERT(now != 4);
      CPPUNIT_ASSERT(old == 4 || old == now);
    }
  }

  // Guards against callers that cannot distinguish an outage from overload.
  void failure_reason_distinguishes_causes() {
    endpoint_chooser none = Chooser({});
    CPPUNIT_ASSERT(none.Choose(Request(1), now_).error().reason ==
                   choice_failure_reason::kNoEndpoint);
    endpoint_chooser stale = Chooser(Endpoints(1, 3));
    const auto later = stale.Choose(Request(1), now_ + seconds(61));
    CPPUNIT_ASSERT(later.error().reason == choice_failure_reason::kAllStale);
    CPPUNIT_ASSERT(later.error().probe.has_value());
    endpoint_chooser full = Chooser(Endpoints(1, 2));
    full.OnReport(0, 40, now_ + milliseconds(1));
    full.OnReport(1, 0, now_ + milliseconds(1));
    full.Tick(now_ + milliseconds(1));
    const std::vector<endpoint_index> tried = {1};
    choice_request request = Request(1);
    request.excluded = tried;
    CPPUNIT_ASSERT(
        full.Choose(request, now_ + milliseconds(1)).error().reason ==
        choice_failure_reason::kAllOverBound);
  }

  // Guards against chats that never return to their preferred endpoint because
  // no VM probes it.
  void stale_preferred_endpoint_is_returned_for_a_probe() {
    endpoint_chooser chooser = Chooser(Endpoints(1, 3));
    const auto preferred = chooser.Choose(Request(1), now_).value().index;
    chooser.SetCondition(preferred, {now_, true});
    const auto other = chooser.Choose(Request(1), now_);
    CPPUNIT_ASSERT(other.value().index != preferred);
    CPPUNIT_ASSERT(other.value().probe == preferred);
    CPPUNIT_ASSERT(!other.value().is_preferred);
  }

  // Guards against a single router that exceeds the load bound.
  void loads_of_one_router_stay_within_the_bound() {
    endpoint_chooser chooser = Chooser(Endpoints(1, 9));
    Refresh(chooser, 0);
    for (int sent = 0; sent < 400; ++sent) {
      const auto choice = chooser.Choose(Request(sent % 37), now_);
      CPPUNIT_ASSERT(choice.has_value());
      const auto index = choice.value().index;
      CPPUNIT_ASSERT(chooser.loads().Estimate(index) + 1 <=
                     chooser.loads().LoadBound(index));
      chooser.OnSent(Request(sent % 37).key, index, now_);
    }
  }

  // Guards against a prefix shared by a large workspace that keeps one endpoint
  // at its load bound.
  void hot_key_has_several_preferred_endpoints() {
    endpoint_chooser chooser = Chooser(Endpoints(1, 9));
    std::set<endpoint_index> preferred;
    for (int i = 0; i < 200; ++i) {
      const auto choice = chooser.Choose(Request(1), now_);
      preferred.insert(choice.value().index);
      chooser.OnSent(Request(1).key, choice.value().index, now_);
    }
    CPPUNIT_ASSERT(preferred.size() >= 4);
  }

  // Guards against choices that need hints, and against hints that are used
  // after they were withdrawn.
  void hint_is_followed_until_dropped() {
    endpoint_chooser chooser = Chooser(Endpoints(1, 9));
    const auto preferred = chooser.Choose(Request(1), now_).value().index;
    const endpoint_index other = (preferred + 4) % 9;
    chooser.OnCacheHint(Request(1).key, other, true);
    CPPUNIT_ASSERT_EQUAL(other, chooser.Choose(Request(1), now_).value().index);
    chooser.OnCacheHint(Request(1).key, other, false);
    CPPUNIT_ASSERT_EQUAL(preferred,
                         chooser.Choose(Request(1), now_).value().index);
  }

  // Guards against losing the load of this VM's own requests when an endpoint
  // joins.
  void placement_replaced_keeps_loads() {
    endpoint_chooser chooser = Chooser(Endpoints(1, 3));
    chooser.OnSent(1, 2, now_ + milliseconds(1));
    auto endpoints = Endpoints(1, 3);
    endpoints.push_back(
        {endpoint_id("a"), failure_domain_id("d0"), 32, 8000, false});
    chooser.SetPlacement(placement::Build(endpoints, 2));
    CPPUNIT_ASSERT_EQUAL(9U, chooser.loads().Estimate(3));
    CPPUNIT_ASSERT_EQUAL(1U, chooser.loads().OwnInFlight(3));
  }

  // Guards against a choice whose cost grows with the size of the fleet.
  void choice_among_2100_does_not_allocate_and_examines_few() {
    endpoint_chooser chooser = Chooser(Endpoints(10, 210));
    std::vector<choice_request> requests;
    for (int i = 0; i < 10000; ++i) requests.push_back(Request(i));
    constexpr std::size_t kInFlight = 200;
    std::vector<endpoint_index> in_flight(kInFlight, 0);
    const std::uint64_t before = AllocationCount();
    const auto start = std::chrono::steady_clock::now();
    std::uint64_t examined = 0;
    std::uint32_t max_examined = 0;
    std::size_t sent = 0;
    for (const choice_request& request : requests) {
      const auto choice = chooser.Choose(request, now_);
      if (!choice) continue;
      examined += choice.value().examined;
      max_examined = std::max(max_examined, choice.value().examined);
      endpoint_index& oldest = in_flight[sent++ % kInFlight];
      if (sent > kInFlight) chooser.OnFinished(oldest, now_);
      oldest = choice.value().index;
      chooser.OnSent(request.key, oldest, now_);
    }
    const auto spent = std::chrono::steady_clock::now() - start;
    // Read before the assertion, which itself allocates.
    const std::uint64_t after = AllocationCount();
    CPPUNIT_ASSERT_EQUAL(before, after);
    std::printf(" ns_per_choice=%ld examined_mean=%.1f examined_most=%u ",
                static_cast<long>(
                    std::chrono::duration_cast<std::chrono::nanoseconds>(spent)
                        .count() /
                    10000),
                static_cast<double>(examined) / 10000, max_examined);
    CPPUNIT_ASSERT(examined <= 10000 * 16);
    CPPUNIT_ASSERT(max_examined <= 2100 + 10 * (64 + 16));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_chooser_test);

}  // namespace marjoramsill
