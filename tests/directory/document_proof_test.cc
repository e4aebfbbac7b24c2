#include "process/directory/document_proof.h"

#include <cppunit/extensions/HelperMacros.h>

namespace marjoramsill {

using std::chrono::milliseconds;

class document_proof_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(document_proof_test);
  CPPUNIT_TEST(process_without_confirmation_is_not_current);
  CPPUNIT_TEST(older_document_than_confirmed_is_not_current);
  CPPUNIT_TEST(proof_expires_after_the_maximum_age);
  CPPUNIT_TEST(late_confirmation_of_an_older_version_proves_nothing_new);
  CPPUNIT_TEST_SUITE_END();

  static steady_time At(int ms) { return steady_time(milliseconds(ms)); }

  document_proof proof_{milliseconds(2'000)};

 public:
  // Guards against a denial by a process that has just started.
  void process_without_confirmation_is_not_current() {
    CPPUNIT_ASSERT(!proof_.IsCurrent(document_version(9), At(0)));
  }

  // Guards against a denial while a newer document is being fetched.
  void older_document_than_confirmed_is_not_current() {
    proof_.Confirm(document_version(7), At(1'000));
    CPPUNIT_ASSERT(!proof_.IsCurrent(document_version(6), At(1'001)));
    CPPUNIT_ASSERT(proof_.IsCurrent(document_version(7), At(1'001)));
    CPPUNIT_ASSERT(proof_.IsCurrent(document_version(8), At(1'001)));
  }

  // Guards against a denial by a process that is cut off or was frozen.
  void proof_expires_after_the_maximum_age() {
    proof_.Confirm(document_version(7), At(1'000));
    CPPUNIT_ASSERT(proof_.IsCurrent(document_version(7), At(3'000)));
    CPPUNIT_ASSERT(!proof_.IsCurrent(document_version(7), At(3'001)));
  }

  // Guards against a delayed response of a leader that was replaced.
  void late_confirmation_of_an_older_version_proves_nothing_new() {
    proof_.Confirm(document_version(7), At(1'000));
    proof_.Confirm(document_version(6), At(500));
    CPPUNIT_ASSERT(!proof_.IsCurrent(document_version(6), At(1'200)));
    CPPUNIT_ASSERT(!proof_.IsCurrent(document_version(7), At(3'200)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(document_proof_test);

}  // namespace marjoramsill
