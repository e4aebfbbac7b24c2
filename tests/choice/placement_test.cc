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

  static endpoint_id HomeOf(const placement& table, int chat) {
    const auto& ring = table.rings().at(0);
    const auto at =
        std::lower_bound(ring.points.begin(), ring.points.end(),
                         PlacementKey("chat-" + std::to_string(chat)));
    const auto index = at == ring.points.end() ? 0 : at - ring.points.begin();
    return table.endpoints()[ring.owners[static_cast<std::size_t>(index)]].id;
  }

 public:
  // Guards against VMs with equal views that send a chat to two homes.
  void order_does_not_depend_on_input_order() {
    auto endpoints = Endpoints(20);
    const auto one = placement::Build(endpoints, 1);
    std::reverse(endpoints.begin(), endpoints.end());
    const auto two = placement::Build(endpoints, 1);
    for (int chat = 0; chat < 1000; ++chat) {
      CPPUNIT_ASSERT(HomeOf(*one, chat) == HomeOf(*two, chat));
    }
  }

  // Guards against a departure that costs other chats their caches.
  void endpoint_removed_moves_only_its_keys() {
    auto endpoints = Endpoints(20);
    const auto before = placement::Build(endpoints, 1);
    const endpoint_id gone = endpoints[7].id;
    endpoints.erase(endpoints.begin() + 7);
    const auto after = placement::Build(endpoints, 2);
    for (int chat = 0; chat < 1000; ++chat) {
      const endpoint_id home = HomeOf(*before, chat);
      CPPUNIT_ASSERT(home == gone || home == HomeOf(*after, chat));
    }
    CPPUNIT_ASSERT(!after->IndexOf(gone).has_value());
  }

  // Guards against small endpoints that get as many chats as large ones.
  void shares_follow_capacity() {
    auto endpoints = Endpoints(4);
    endpoints[0].capacity = 64;
    const auto table = placement::Build(endpoints, 1);
    std::map<endpoint_id, int> homes;
    for (int chat = 0; chat < 20000; ++chat) ++homes[HomeOf(*table, chat)];
    CPPUNIT_ASSERT(homes[endpoints[0].id] > 20000 * 2 / 5 * 8 / 10);
    for (int i = 1; i < 4; ++i) {
      CPPUNIT_ASSERT(homes[endpoints[i].id] > 20000 / 5 * 8 / 10);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_test);

}  // namespace marjoramsill
