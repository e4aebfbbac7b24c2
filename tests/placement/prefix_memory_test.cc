#include "process/placement/prefix_memory.h"

#include <cppunit/extensions/HelperMacros.h>

namespace marjoramsill {

class prefix_memory_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(prefix_memory_test);
  CPPUNIT_TEST(prefix_noted_is_cached);
  CPPUNIT_TEST(part_behind_another_prefix_is_not_cached);
  CPPUNIT_TEST(prefix_least_recently_used_yields);
  CPPUNIT_TEST(capacity_reduced_drops_the_oldest);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<prompt_part> Parts(std::uint64_t first,
                                        std::uint64_t second) {
    return {{first, token_count(100)}, {second, token_count(400)}};
  }

  static std::uint64_t Cached(const prefix_memory& memory,
                              const std::vector<prompt_part>& parts) {
    return memory.CachedTokens(parts).value();
  }

 public:
  void prefix_noted_is_cached() {
    prefix_memory memory(token_count(10'000));
    memory.Note(Parts(1, 2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{500}, Cached(memory, Parts(1, 2)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, Cached(memory, Parts(1, 3)));
  }

  void part_behind_another_prefix_is_not_cached() {
    // The second part depends on what stands before it.
    prefix_memory memory(token_count(10'000));
    memory.Note(Parts(1, 2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Cached(memory, Parts(9, 2)));
  }

  void prefix_least_recently_used_yields() {
    prefix_memory memory(token_count(1'100));
    memory.Note(Parts(1, 2));
    memory.Note(Parts(3, 4));
    memory.Note(Parts(1, 2));
    memory.Note(Parts(5, 6));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{500}, Cached(memory, Parts(1, 2)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Cached(memory, Parts(3, 4)));
  }

  void capacity_reduced_drops_the_oldest() {
    prefix_memory memory(token_count(1'100));
    memory.Note(Parts(1, 2));
    memory.Note(Parts(3, 4));
    memory.SetCapacity(token_count(500));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Cached(memory, Parts(1, 2)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{500}, Cached(memory, Parts(3, 4)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(prefix_memory_test);

}  // namespace marjoramsill
