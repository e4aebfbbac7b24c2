#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

#include "process/controller/document_register.h"
#include "process/controller/evacuation_order.h"
#include "process/controller/text_compression.h"

namespace marjoramsill {

/// Builds that know no evacuation set take the whole snapshot for the document.
class evacuation_frame_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(evacuation_frame_test);
  CPPUNIT_TEST(earlier_build_unpacks_the_document_of_a_snapshot_with_a_set);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a control process of an earlier build that loses the
  // document while a domain is evacuated.
  void earlier_build_unpacks_the_document_of_a_snapshot_with_a_set() {
    const std::string text(5'000, 'x');
    document_register state;
    state.Apply(EncodeStoredDocument(
        {document_version(5),
         std::make_shared<const std::string>(PackText(text))}));
    state.Apply(EncodeEvacuationOrder({failure_domain_id("d1"), true}));
    const auto document = DecodeStoredDocument(state.Snapshot());
    CPPUNIT_ASSERT(document && document->packed);
    CPPUNIT_ASSERT(document->version == document_version(5));
    CPPUNIT_ASSERT(UnpackText(*document->packed, text.size()) == text);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuation_frame_test);

}  // namespace marjoramsill
