#include "connection/machine_memory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <optional>

namespace marjoramsill {

class machine_memory_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(machine_memory_test);
  CPPUNIT_TEST(least_bound_is_that_of_the_tightest_limit);
  CPPUNIT_TEST(least_bound_without_any_is_not_known);
  CPPUNIT_TEST(group_limit_without_a_number_is_none);
  CPPUNIT_TEST(bounds_of_this_machine_name_its_memory);
  CPPUNIT_TEST_SUITE_END();

 public:
  void least_bound_is_that_of_the_tightest_limit() {
    CPPUNIT_ASSERT(LeastBound({400, 300, 200, 100}) == std::size_t{100});
    CPPUNIT_ASSERT(LeastBound({400, {}, 200, {}}) == std::size_t{200});
    CPPUNIT_ASSERT(LeastBound({400, 500, {}, {}}) == std::size_t{400});
  }

  void least_bound_without_any_is_not_known() {
    CPPUNIT_ASSERT(LeastBound({}) == std::nullopt);
  }

  void group_limit_without_a_number_is_none() {
    CPPUNIT_ASSERT(ParseGroupLimit("167772160") == std::size_t{167'772'160});
    CPPUNIT_ASSERT(ParseGroupLimit("max") == std::nullopt);
    CPPUNIT_ASSERT(ParseGroupLimit("") == std::nullopt);
  }

  void bounds_of_this_machine_name_its_memory() {
    CPPUNIT_ASSERT(ReadMemoryBounds().physical.value_or(0) > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(machine_memory_test);

}  // namespace marjoramsill
