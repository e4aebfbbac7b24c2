#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

#include "process/controller/document_register.h"
#include "process/controller/evacuation_order.h"

namespace marjoramsill {

/// The replicated state with evacuation orders, and its formats.
class evacuation_register_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(evacuation_register_test);
  CPPUNIT_TEST(repeated_order_changes_nothing);
  CPPUNIT_TEST(orders_in_any_sequence_keep_the_set_sorted);
  CPPUNIT_TEST(last_committed_order_for_a_domain_is_in_force);
  CPPUNIT_TEST(set_takes_no_more_than_its_bound);
  CPPUNIT_TEST(documents_and_orders_do_not_affect_each_other);
  CPPUNIT_TEST(snapshot_restores_document_and_set);
  CPPUNIT_TEST(state_without_orders_is_written_in_the_earlier_format);
  CPPUNIT_TEST(snapshot_of_an_earlier_build_is_read);
  CPPUNIT_TEST(snapshot_of_an_earlier_build_does_not_end_an_evacuation);
  CPPUNIT_TEST(earlier_build_reads_the_document_before_the_set);
  CPPUNIT_TEST(earlier_build_ignores_an_order);
  CPPUNIT_TEST(damaged_snapshot_is_refused);
  CPPUNIT_TEST(order_for_a_domain_with_other_characters_changes_nothing);
  CPPUNIT_TEST(document_with_a_tag_is_restored);
  CPPUNIT_TEST(document_with_a_tag_of_an_earlier_build_is_read);
  CPPUNIT_TEST(damaged_order_changes_nothing);
  CPPUNIT_TEST_SUITE_END();

  static std::string Order(const std::string& domain, bool evacuates) {
    return EncodeEvacuationOrder({failure_domain_id(domain), evacuates});
  }

  static std::string Document(std::uint64_t version, const std::string& text) {
    return EncodeStoredDocument(
        {document_version(version), std::make_shared<const std::string>(text)});
  }

  static std::vector<failure_domain_id> Domains(
      const std::vector<std::string>& names) {
    std::vector<failure_domain_id> domains;
    domains.reserve(names.size());
    for (const std::string& name : names) domains.emplace_back(name);
    return domains;
  }

  const std::vector<std::string> texts_with_tags_{
      "evacset{",
      "a evacset{ b",
      "}evacset",
      "a }evacset b",
      "evacset{}evacset",
      std::string(40, 'x') + "evacset{" + std::string(40, 'y') + "}evacset"};
  document_register state_;

 public:
  // Guards against a repeated order that watchers receive as a new set.
  void repeated_order_changes_nothing() {
    CPPUNIT_ASSERT_EQUAL(std::string("1"), state_.Apply(Order("d1", true)));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), state_.Apply(Order("d1", true)));
    CPPUNIT_ASSERT_EQUAL(std::string("2"), state_.Apply(Order("d1", false)));
    CPPUNIT_ASSERT_EQUAL(std::string("2"), state_.Apply(Order("d1", false)));
    CPPUNIT_ASSERT(state_.evacuations().domains.empty());
  }

  void orders_in_any_sequence_keep_the_set_sorted() {
    for (const char* domain : {"d2", "d0", "d1"}) {
      state_.Apply(Order(domain, true));
    }
    CPPUNIT_ASSERT(state_.evacuations().domains == Domains({"d0", "d1", "d2"}));
    state_.Apply(Order("d1", false));
    CPPUNIT_ASSERT(state_.evacuations().domains == Domains({"d0", "d2"}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, state_.evacuations().change);
  }

  void last_committed_order_for_a_domain_is_in_force() {
    state_.Apply(Order("d1", true));
    state_.Apply(Order("d1", false));
    state_.Apply(Order("d1", true));
    CPPUNIT_ASSERT(state_.evacuations().Contains(failure_domain_id("d1")));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, state_.evacuations().change);
  }

  // Guards against orders that make every watch response large.
  void set_takes_no_more_than_its_bound() {
    for (std::size_t i = 0; i < kMaxEvacuatedDomains; ++i) {
      CPPUNIT_ASSERT(
          !state_.Apply(Order("d" + std::to_string(i), true)).empty());
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), state_.Apply(Order("one-more", true)));
    CPPUNIT_ASSERT_EQUAL(kMaxEvacuatedDomains,
                         state_.evacuations().domains.size());
    CPPUNIT_ASSERT(!state_.Apply(Order("d3", true)).empty());
    CPPUNIT_ASSERT(!state_.Apply(Order("d3", false)).empty());
    CPPUNIT_ASSERT(!state_.Apply(Order("one-more", true)).empty());
  }

  void documents_and_orders_do_not_affect_each_other() {
    state_.Apply(Document(5, "five"));
    state_.Apply(Order("d1", true));
    CPPUNIT_ASSERT_EQUAL(std::string("7"), state_.Apply(Document(7, "seven")));
    CPPUNIT_ASSERT_EQUAL(std::string("seven"), *state_.held().packed);
    CPPUNIT_ASSERT(state_.evacuations().Contains(failure_domain_id("d1")));
  }

  void snapshot_restores_document_and_set() {
    for (const bool has_document : {false, true}) {
      if (has_document) state_.Apply(Document(5, "five"));
      state_.Apply(Order("d1", true));
      document_register restored;
      CPPUNIT_ASSERT(restored.Restore(state_.Snapshot()));
      CPPUNIT_ASSERT(restored.evacuations() == state_.evacuations());
      CPPUNIT_ASSERT(restored.held().version == state_.held().version);
      CPPUNIT_ASSERT_EQUAL(has_document, restored.held().packed != nullptr);
      if (has_document) {
        CPPUNIT_ASSERT_EQUAL(std::string("five"), *restored.held().packed);
      }
      CPPUNIT_ASSERT_EQUAL(state_.Snapshot(), restored.Snapshot());
    }
    // A set that is empty again keeps its change number.
    state_.Apply(Order("d1", false));
    document_register restored;
    CPPUNIT_ASSERT(restored.Restore(state_.Snapshot()));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, restored.evacuations().change);
  }

  // Guards against a group that cannot go back to the earlier build although no
  // domain was ever evacuated.
  void state_without_orders_is_written_in_the_earlier_format() {
    state_.Apply(Document(5, "five"));
    state_.Apply(Order("d1", false));
    CPPUNIT_ASSERT_EQUAL(Document(5, "five"), state_.Snapshot());
  }

  void snapshot_of_an_earlier_build_is_read() {
    CPPUNIT_ASSERT(state_.Restore(Document(9, "nine")));
    CPPUNIT_ASSERT_EQUAL(std::string("nine"), *state_.held().packed);
    CPPUNIT_ASSERT(state_.evacuations() == evacuation_set());
  }

  void snapshot_of_an_earlier_build_does_not_end_an_evacuation() {
    state_.Apply(Order("d1", true));
    CPPUNIT_ASSERT(state_.Restore(Document(9, "nine")));
    CPPUNIT_ASSERT(state_.evacuations().Contains(failure_domain_id("d1")));
    CPPUNIT_ASSERT(state_.Restore(""));
    CPPUNIT_ASSERT(state_.evacuations() == evacuation_set());
  }

  // Earlier builds decode a snapshot as a document. They skip the frame after
  // its text, see tests/daemon/evacuation_frame_test.cc.
  void earlier_build_reads_the_document_before_the_set() {
    state_.Apply(Document(5, "five"));
    state_.Apply(Order("d1", true));
    const auto document = DecodeStoredDocument(state_.Snapshot());
    CPPUNIT_ASSERT(document.has_value());
    CPPUNIT_ASSERT(document->version == document_version(5));
    CPPUNIT_ASSERT(document->packed->starts_with("five"));
  }

  // Earlier builds apply a document only if its version is above the held one.
  void earlier_build_ignores_an_order() {
    const auto document = DecodeStoredDocument(Order("d1", true));
    CPPUNIT_ASSERT(!document || document->version == document_version(0));
  }

  // Guards against an evacuation that ends because of a damaged disk.
  void damaged_snapshot_is_refused() {
    state_.Apply(Document(5, "five"));
    state_.Apply(Order("d1", true));
    const std::string sound = state_.Snapshot();
    for (std::size_t i = 0; i < sound.size(); ++i) {
      std::string damaged = sound;
      damaged[i] = static_cast<char>(damaged[i] ^ 0x10);
      document_register restored;
      CPPUNIT_ASSERT_MESSAGE(std::to_string(i), !restored.Restore(damaged));
    }
    const std::size_t document_bytes = Document(5, "five").size();
    for (std::size_t size = document_bytes + 16; size < sound.size(); ++size) {
      document_register restored;
      CPPUNIT_ASSERT(!restored.Restore(sound.substr(0, size)));
    }
  }

  // Guards against a domain name that makes every later snapshot unreadable.
  void order_for_a_domain_with_other_characters_changes_nothing() {
    for (const char* domain : {"evacset{", "}evacset", "d 1", "d/1", "d\x80"}) {
      state_.Apply(Order(domain, true));
      CPPUNIT_ASSERT(state_.evacuations() == evacuation_set());
      document_register restored;
      CPPUNIT_ASSERT(restored.Restore(state_.Snapshot()));
    }
    state_.Apply(Order("Az09._-", true));
    CPPUNIT_ASSERT(state_.evacuations().Contains(failure_domain_id("Az09._-")));
  }

  // Guards against a document that ends every control process at its start.
  void document_with_a_tag_is_restored() {
    for (const bool has_set : {false, true}) {
      for (const std::string& text : texts_with_tags_) {
        document_register state;
        state.Apply(Document(5, text));
        if (has_set) state.Apply(Order("d1", true));
        document_register restored;
        CPPUNIT_ASSERT_MESSAGE(text, restored.Restore(state.Snapshot()));
        CPPUNIT_ASSERT(restored.held().packed != nullptr);
        CPPUNIT_ASSERT_EQUAL(text, *restored.held().packed);
        CPPUNIT_ASSERT(restored.evacuations() == state.evacuations());
      }
      // A document that is itself a snapshot with a set.
      document_register state;
      state.Apply(Document(5, "five"));
      state.Apply(Order("d1", true));
      const std::string inner = state.Snapshot();
      document_register outer;
      outer.Apply(Document(6, inner));
      if (has_set) outer.Apply(Order("d2", true));
      document_register restored;
      CPPUNIT_ASSERT(restored.Restore(outer.Snapshot()));
      CPPUNIT_ASSERT_EQUAL(inner, *restored.held().packed);
      CPPUNIT_ASSERT(restored.evacuations() == outer.evacuations());
    }
  }

  void document_with_a_tag_of_an_earlier_build_is_read() {
    for (const std::string& text : texts_with_tags_) {
      CPPUNIT_ASSERT_MESSAGE(text, state_.Restore(Document(9, text)));
      CPPUNIT_ASSERT_EQUAL(text, *state_.held().packed);
      CPPUNIT_ASSERT(state_.evacuations() == evacuation_set());
    }
  }

  void damaged_order_changes_nothing() {
    const std::string long_name(kMaxEvacuatedDomainBytes + 1, 'x');
    const std::string start = Order("d", true).substr(0, 16);
    for (const std::string& command :
         {std::string(), start, start + "+", start + "?d1",
          Order(long_name, true), Order("d1", true).substr(0, 12)}) {
      state_.Apply(command);
      CPPUNIT_ASSERT(state_.evacuations() == evacuation_set());
      CPPUNIT_ASSERT(state_.held().version == document_version(0));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuation_register_test);

}  // namespace marjoramsill
