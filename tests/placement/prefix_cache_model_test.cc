#include "process/placement/prefix_cache_model.h"

#include <cppunit/extensions/HelperMacros.h>

namespace marjoramsill {

class prefix_cache_model_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(prefix_cache_model_test);
  CPPUNIT_TEST(recorded_prefix_is_cached);
  CPPUNIT_TEST(part_after_another_prefix_is_not_cached);
  CPPUNIT_TEST(least_recently_used_prefix_is_evicted);
  CPPUNIT_TEST(reduced_capacity_evicts_the_least_recently_used_prefix);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<prompt_part> Parts(std::uint64_t first,
                                        std::uint64_t second) {
    return {{first, token_count(100)}, {second, token_count(400)}};
  }

  static std::uint64_t Cached(const prefix_cache_model& memory,
                              const std::vector<prompt_part>& parts) {
    return memory.CachedTokens(parts).value();
  }

 public:
  void recorded_prefix_is_cached() {
    prefix_cache_model memory(token_count(10'000));
    memory.Record(Parts(1, 2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{500}, Cached(memory, Parts(1, 2)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, Cached(memory, Parts(1, 3)));
  }

  void part_after_another_prefix_is_not_cached() {
    // A cached part can be reused only after the same preceding parts.
    prefix_cache_model memory(token_count(10'000));
    memory.Record(Parts(1, 2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Cached(memory, Parts(9, 2)));
  }

  void least_recently_used_prefix_is_evicted() {
    prefix_cache_model memory(token_count(1'100));
    memory.Record(Parts(1, 2));
    memory.Record(Parts(3, 4));
    memory.Record(Parts(1, 2));
    memory.Record(Parts(5, 6));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{500}, Cached(memory, Parts(1, 2)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Cached(memory, Parts(3, 4)));
  }

  void reduced_capacity_evicts_the_least_recently_used_prefix() {
    prefix_cache_model memory(token_count(1'100));
    memory.Record(Parts(1, 2));
    memory.Record(Parts(3, 4));
    memory.SetCapacity(token_count(500));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Cached(memory, Parts(1, 2)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{500}, Cached(memory, Parts(3, 4)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(prefix_cache_model_test);

}  // namespace marjoramsill
