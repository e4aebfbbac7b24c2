#include "process/directory/document_holder.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace marjoramsill {

using std::chrono::milliseconds;

class document_holder_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(document_holder_test);
  CPPUNIT_TEST(lagging_preferred_member_is_replaced_by_one_with_the_version);
  CPPUNIT_TEST(entry_vms_are_distributed_over_members_with_the_version);
  CPPUNIT_TEST(next_member_is_chosen_after_a_failure);
  CPPUNIT_TEST(no_member_is_chosen_for_a_version_that_none_has);
  CPPUNIT_TEST_SUITE_END();

  /// Longer than a member gets to announce the version.
  static constexpr milliseconds kLongWait{200};

  static reachable_member Member(int number, std::uint64_t version) {
    return {vm_id("10.0.0." + std::to_string(number) + ":7340"),
            document_version(version)};
  }

  static vm_id Entry(int number) {
    return vm_id("10.1.0." + std::to_string(number) + ":7340");
  }

 public:
  void lagging_preferred_member_is_replaced_by_one_with_the_version() {
    // After a power failure of all members, a lagging member responded 1.2 s
    // later than those that had the document.
    for (int entry = 0; entry < 20; ++entry) {
      const auto chosen = ChooseHolder(
          Entry(entry), document_version(36),
          {Member(1, 34), Member(2, 36), Member(3, 34)}, kLongWait, 0);
      CPPUNIT_ASSERT(chosen == Member(2, 36).vm);
    }
  }

  void entry_vms_are_distributed_over_members_with_the_version() {
    std::set<std::string> chosen;
    for (int entry = 0; entry < 30; ++entry) {
      const auto member = ChooseHolder(
          Entry(entry), document_version(36),
          {Member(1, 36), Member(2, 36), Member(3, 36)}, milliseconds(0), 0);
      CPPUNIT_ASSERT(member.has_value());
      chosen.insert(member->value());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, chosen.size());
  }

  void next_member_is_chosen_after_a_failure() {
    std::set<std::string> chosen;
    for (int failures = 0; failures < 3; ++failures) {
      chosen.insert(ChooseHolder(Entry(1), document_version(36),
                                 {Member(1, 36), Member(2, 36), Member(3, 36)},
                                 kLongWait, failures)
                        ->value());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, chosen.size());
  }

  void no_member_is_chosen_for_a_version_that_none_has() {
    CPPUNIT_ASSERT(!ChooseHolder(Entry(1), document_version(36),
                                 {Member(1, 34)}, kLongWait, 0)
                        .has_value());
    CPPUNIT_ASSERT(
        !ChooseHolder(Entry(1), document_version(36), {}, kLongWait, 0)
             .has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(document_holder_test);

}  // namespace marjoramsill
