#include "types/rank.h"

#include <cppunit/extensions/HelperMacros.h>

namespace marjoramsill {

class rank_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(rank_test);
  CPPUNIT_TEST(rank_each_name_parses_back);
  CPPUNIT_TEST(rank_unknown_name_is_refused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against RankName() and ParseRank() using different names.
  void rank_each_name_parses_back() {
    for (rank value : {rank::kUrgent, rank::kStandard, rank::kBackground}) {
      CPPUNIT_ASSERT(ParseRank(RankName(value)) == value);
    }
  }

  // Guards against unknown or differently capitalised names being accepted.
  void rank_unknown_name_is_refused() {
    CPPUNIT_ASSERT(!ParseRank("Urgent").has_value());
    CPPUNIT_ASSERT(!ParseRank("").has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rank_test);

}  // namespace marjoramsill
