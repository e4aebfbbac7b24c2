#include "process/daemon/document_file.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

#include "version/section_record.h"

namespace marjoramsill {
namespace {

policy_document Document() {
  policy_document document;
  const auto put = [&document](const std::string& name, std::uint64_t version,
                               const std::string& bytes) {
    document.Put(std::make_shared<const section_record>(section_record{
        section_name(name), section_version(version), team_id("crew"), bytes}));
  };
  put("workspaces/club", 3, "tokens_per_second: 5 # \xC3\xA9\r\n");
  put("models/draft", 7, "");
  document.set_version(document_version(9));
  return document;
}

}  // namespace

class document_file_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(document_file_test);
  CPPUNIT_TEST(document_round_trip_keeps_every_byte);
  CPPUNIT_TEST(document_empty_round_trip);
  CPPUNIT_TEST(document_damaged_or_cut_gives_nothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a restart that restores a document other than the accepted
  // one.
  void document_round_trip_keeps_every_byte() {
    const policy_document document = Document();
    const auto decoded = DecodeDocument(EncodeDocument(document));
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(decoded->version() == document.version());
    CPPUNIT_ASSERT_EQUAL(document.size(), decoded->size());
    for (const auto& [version, record] : document.by_version()) {
      const section_ptr found = decoded->Find(record->name);
      CPPUNIT_ASSERT(found != nullptr && *found == *record);
    }
  }

  // Guards against a first start that treats an empty document as damaged.
  void document_empty_round_trip() {
    const auto decoded = DecodeDocument(EncodeDocument(policy_document()));
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decoded->size());
  }

  // Guards against the use of a truncated or damaged file.
  void document_damaged_or_cut_gives_nothing() {
    const std::string bytes = EncodeDocument(Document());
    for (std::size_t i = 0; i < bytes.size(); ++i) {
      CPPUNIT_ASSERT_MESSAGE("cut at " + std::to_string(i),
                             !DecodeDocument(bytes.substr(0, i)));
      for (int bit = 0; bit < 8; ++bit) {
        std::string damaged = bytes;
        damaged[i] = static_cast<char>(damaged[i] ^ (1 << bit));
        CPPUNIT_ASSERT_MESSAGE("damage at " + std::to_string(i),
                               !DecodeDocument(damaged));
      }
    }
    CPPUNIT_ASSERT(!DecodeDocument(bytes + '\0'));
    CPPUNIT_ASSERT(!DecodeDocument(bytes + bytes));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(document_file_test);

}  // namespace marjoramsill
