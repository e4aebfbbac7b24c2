#include "process/directory/document_holder.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace marjoramsill {

using std::chrono::milliseconds;

class document_holder_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(document_holder_test);
  CPPUNIT_TEST(member_without_the_version_is_not_waited_for);
  CPPUNIT_TEST(members_with_the_version_share_the_work);
  CPPUNIT_TEST(member_asked_in_vain_is_followed_by_another);
  CPPUNIT_TEST(version_that_nobody_has_is_waited_for);
  CPPUNIT_TEST_SUITE_END();

  static constexpr milliseconds kLong{200};

  static reachable_member Member(int number, std::uint64_t version) {
    return {vm_id("10.0.0." + std::to_string(number) + ":7340"),
            document_version(version)};
  }

  static vm_id Entry(int number) {
    return vm_id("10.1.0." + std::to_string(number) + ":7340");
  }

 public:
  void member_without_the_version_is_not_waited_for() {
    // After all members lost power, one that was still catching up answered
    // 1.2 s later than those that had the document.
    for (int entry = 0; entry < 20; ++entry) {
      const auto chosen =
          ChooseHolder(Entry(entry), document_version(36),
                       {Member(1, 34), Member(2, 36), Member(3, 34)}, kLong, 0);
      CPPUNIT_ASSERT(chosen == Member(2, 36).vm);
    }
  }

  void members_with_the_version_share_the_work() {
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

  void member_asked_in_vain_is_followed_by_another() {
    std::set<std::string> chosen;
    for (int failures = 0; failures < 3; ++failures) {
      chosen.insert(ChooseHolder(Entry(1), document_version(36),
                                 {Member(1, 36), Member(2, 36), Member(3, 36)},
                                 kLong, failures)
                        ->value());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, chosen.size());
  }

  void version_that_nobody_has_is_waited_for() {
    CPPUNIT_ASSERT(
        !ChooseHolder(Entry(1), document_version(36), {Member(1, 34)}, kLong, 0)
             .has_value());
    CPPUNIT_ASSERT(!ChooseHolder(Entry(1), document_version(36), {}, kLong, 0)
                        .has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(document_holder_test);

}  // namespace marjoramsill
