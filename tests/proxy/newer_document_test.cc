#include "request/newer_document.h"

#include <cppunit/extensions/HelperMacros.h>

#include "request/relay_terms.h"

namespace marjoramsill {

class newer_document_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(newer_document_test);
  CPPUNIT_TEST(encoded_refusal_is_read_unchanged);
  CPPUNIT_TEST(other_values_of_the_field_are_no_newer_document);
  CPPUNIT_TEST(malformed_refusals_are_ignored);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a version or port that is cut off or rounded on the hop.
  void encoded_refusal_is_read_unchanged() {
    for (const newer_document& newer :
         {newer_document{document_version(1), 1},
          newer_document{document_version(18'446'744'073'709'551'615U),
                         65'535}}) {
      CPPUNIT_ASSERT(DecodeNewerDocument(EncodeNewerDocument(newer)) == newer);
    }
  }

  // Guards against a fetch because a VM is busy, and against a refusal that an
  // earlier build reads as that of a full pool.
  void other_values_of_the_field_are_no_newer_document() {
    CPPUNIT_ASSERT(!DecodeNewerDocument(kRelayFull));
    CPPUNIT_ASSERT(!DecodeNewerDocument(kRelayUnavailable));
    CPPUNIT_ASSERT(EncodeNewerDocument({document_version(7), 80}) !=
                   kRelayFull);
  }

  // Guards against a fetch at an address that no VM has sent.
  void malformed_refusals_are_ignored() {
    for (const char* text :
         {"", "newer", "newer,", "newer,7", "newer,7,", "newer,,80",
          "newer,7,0", "newer,7,65536", "newer,-7,80", "newer,7,80,",
          "newer,7,80 ", "newer,a,80", "newer,99999999999999999999,80",
          " newer,7,80", "Newer,7,80"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !DecodeNewerDocument(text));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(newer_document_test);

}  // namespace marjoramsill
