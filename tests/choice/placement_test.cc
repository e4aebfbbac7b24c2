#include "process/choice/placement.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

namespace marjoramsill {

class placement_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(placement_test);
  CPPUNIT_TEST(order_does_not_depend_on_input_order);
  CPPUNIT_TEST(endpoint_removed_moves_only_its_keys);
  CPPUNIT_TEST(shares_follow_capacity);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<placement_endpoint> Endpoints(int count) {
    std::vector<placement_endpoint> made;
    for (int i = 0; i < count; ++i) {
      made.push_back({endpoint_id("e" + std::to_string(i)),
                      failure_domain_id("d"), 32, 8000, false});
    }
    return made;
  }

  static endpoint_id OwnerOf(const placement& table, int chat) {
    const auto& ring = table.rings().at(0);
    const auto point =
        std::lower_bound(ring.points.begin(), ring.points.end(),
                         PlacementKey("chat-" + std::to_string(chat)));
    const auto index =
        point == ring.points.end() ? 0 : point - ring.points.begin();
    return table.endpoints()[ring.point_owners[static_cast<std::size_t>(index)]]
        .id;
  }

 public:
  // Guards against VMs with equal views that prefer different endpoints for a
  // chat.
  void order_does_not_depend_on_input_order() {
    auto endpoints = Endpoints(20);
    const auto one = placement::Build(endpoints, 1);
    std::reverse(endpoints.begin(), endpoints.end());
    const auto two = placement::Build(endpoints, 1);
    for (int chat = 0; chat < 1000; ++chat) {
      CPPUNIT_ASSERT(OwnerOf(*one, chat) == OwnerOf(*two, chat));
    }
  }

  // Guards against a removed endpoint that makes chats of other endpoints lose
  // their caches.
  void endpoint_removed_moves_only_its_keys() {
    auto endpoints = Endpoints(20);
    const auto before = placement::Build(endpoints, 1);
    const endpoint_id removed = endpoints[7].id;
    endpoints.erase(endpoints.begin() + 7);
    const auto after = placement::Build(endpoints, 2);
    for (int chat = 0; chat < 1000; ++chat) {
      const endpoint_id preferred = OwnerOf(*before, chat);
      CPPUNIT_ASSERT(preferred == removed ||
                     preferred == OwnerOf(*after, chat));
    }
    CPPUNIT_ASSERT(!after->IndexOf(removed).has_value());
  }

  // Guards against small endpoints that get as many chats as large ones.
  void shares_follow_capacity() {
    auto endpoints = Endpoints(4);
    endpoints[0].capacity = 64;
    const auto table = placement::Build(endpoints, 1);
    std::map<endpoint_id, int> counts;
    for (int chat = 0; chat < 20000; ++chat) ++counts[OwnerOf(*table, chat)];
    CPPUNIT_ASSERT(counts[endpoints[0].id] > 20000 * 2 / 5 * 8 / 10);
    for (int i = 1; i < 4; ++i) {
      CPPUNIT_ASSERT(counts[endpoints[i].id] > 20000 / 5 * 8 / 10);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_test);

}  // namespace marjoramsill
