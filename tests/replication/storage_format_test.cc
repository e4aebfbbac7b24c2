#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <string_view>

#include "process/controller/stored_document.h"
#include "process/replication/hard_state.h"
#include "process/replication/log_entry.h"
#include "process/replication/snapshot.h"
#include "process/replication/storage_codec.h"

namespace marjoramsill {

/// What a VM finds on its disk when its build is replaced. Guards against a
/// build that does not read the state of earlier ones, or whose state they do
/// not read after a step back. The bytes were written by build de27380.
class storage_format_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(storage_format_test);
  CPPUNIT_TEST(log_entries_of_build_de27380_are_read_and_written_alike);
  CPPUNIT_TEST(hard_state_of_build_de27380_is_read_and_written_alike);
  CPPUNIT_TEST(index_of_build_de27380_is_read_and_written_alike);
  CPPUNIT_TEST(snapshot_of_build_de27380_is_read_and_written_alike);
  CPPUNIT_TEST(stored_document_of_build_de27380_is_read_and_written_alike);
  CPPUNIT_TEST(segments_of_build_de27380_are_read_and_written_alike);
  CPPUNIT_TEST(records_with_synced_bytes_are_read_by_build_de27380);
  CPPUNIT_TEST_SUITE_END();

  static constexpr const char* kCommand = "9194ce000111700300c40200ff";
  static constexpr const char* kNoOperation = "9194060201c400";
  static constexpr const char* kState =
      "94090492a770657274682d31079194a962756e627572792d310805cf000001000000000"
      "0";
  static constexpr const char* kIndex = "7011010000000000";
  static constexpr const char* kSnapshot =
      "4d4a535301000000b158e7f8d487b6a1940c039294a962756e627572792d31cfffffffff"
      "ffffffffa762756e62757279c294a770657274682d3107a57065727468c3c40573746174"
      "65";
  static constexpr const char* kDocument = "00000000000000287061636b6564";
  static constexpr const char* kSegmentHeader =
      "4d4a534c010000000500000000000000";
  static constexpr const char* kRecord = "030000000157b6edcaf50190f3616263";
  /// Segment and offset of the record.
  static constexpr std::uint64_t kSegment = 5;
  static constexpr std::uint64_t kOffset = 16;

  static std::string Bytes(std::string_view hex) {
    constexpr int kBase = 16;
    std::string bytes;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
      const std::string digits(hex.substr(i, 2));
      bytes += static_cast<char>(std::stoi(digits, nullptr, kBase));
    }
    return bytes;
  }

 public:
  void log_entries_of_build_de27380_are_read_and_written_alike() {
    const log_entry command{log_index(70'000), log_term(3),
                            entry_kind::kCommand, std::string("\0\xff", 2)};
    CPPUNIT_ASSERT(DecodeLogEntry(Bytes(kCommand)) == command);
    CPPUNIT_ASSERT_EQUAL(Bytes(kCommand), EncodeLogEntry(command));
    const log_entry nothing{log_index(6), log_term(2), entry_kind::kNoOperation,
                            ""};
    CPPUNIT_ASSERT(DecodeLogEntry(Bytes(kNoOperation)) == nothing);
    CPPUNIT_ASSERT_EQUAL(Bytes(kNoOperation), EncodeLogEntry(nothing));
  }

  void hard_state_of_build_de27380_is_read_and_written_alike() {
    hard_state state;
    state.term = log_term(9);
    state.voted_for = member_id{vm_id("perth-1"), disk_id(7)};
    state.starts = 4;
    state.known_starts = {
        {{vm_id("bunbury-1"), disk_id(8)}, 5, std::uint64_t{1} << 40}};
    CPPUNIT_ASSERT(DecodeState(Bytes(kState)) == state);
    CPPUNIT_ASSERT_EQUAL(Bytes(kState), EncodeState(state));
  }

  // Build de27380 reads the fields that it knows and ignores later ones, so the
  // number of synced bytes must come after them.
  void records_with_synced_bytes_are_read_by_build_de27380() {
    const log_entry entry{log_index(6), log_term(2), entry_kind::kNoOperation,
                          ""};
    const std::string written = EncodeLogEntry(entry, 300);
    CPPUNIT_ASSERT_EQUAL(Bytes("9294060201c400cd012c"), written);
    CPPUNIT_ASSERT(DecodeLogEntry(written) == entry);
    hard_state state;
    state.term = log_term(9);
    const std::string marked = EncodeState(state, 300);
    const std::string plain = EncodeState(state);
    CPPUNIT_ASSERT_EQUAL(plain.substr(1) + Bytes("cd012c"), marked.substr(1));
    CPPUNIT_ASSERT(DecodeState(marked) == state);
    CPPUNIT_ASSERT(DecodeSyncedBytes({record_type::kState, marked, 0}) ==
                   std::uint64_t{300});
    CPPUNIT_ASSERT(!DecodeSyncedBytes({record_type::kState, plain, 0}));
  }

  void index_of_build_de27380_is_read_and_written_alike() {
    CPPUNIT_ASSERT(DecodeIndex(Bytes(kIndex)) == log_index(70'000));
    CPPUNIT_ASSERT_EQUAL(Bytes(kIndex), EncodeIndex(log_index(70'000)));
  }

  void snapshot_of_build_de27380_is_read_and_written_alike() {
    group_configuration members;
    members.Set(
        {{vm_id("perth-1"), disk_id(7)}, failure_domain_id("perth"), true});
    members.Set({{vm_id("bunbury-1"), disk_id(~0ULL)},
                 failure_domain_id("bunbury"),
                 false});
    snapshot read;
    CPPUNIT_ASSERT(DecodeSnapshotFile(Bytes(kSnapshot), read) ==
                   header_state::kValid);
    CPPUNIT_ASSERT(read.index == log_index(12) && read.term == log_term(3));
    CPPUNIT_ASSERT(read.configuration == members);
    CPPUNIT_ASSERT(read.data && *read.data == "state");
    CPPUNIT_ASSERT_EQUAL(Bytes(kSnapshot), EncodeSnapshotFile(read));
  }

  void stored_document_of_build_de27380_is_read_and_written_alike() {
    const auto read = DecodeStoredDocument(Bytes(kDocument));
    CPPUNIT_ASSERT(read && read->version == document_version(40));
    CPPUNIT_ASSERT(read->packed && *read->packed == "packed");
    CPPUNIT_ASSERT_EQUAL(Bytes(kDocument), EncodeStoredDocument(*read));
  }

  void segments_of_build_de27380_are_read_and_written_alike() {
    CPPUNIT_ASSERT(CheckSegmentHeader(Bytes(kSegmentHeader), kSegment) ==
                   header_state::kValid);
    CPPUNIT_ASSERT_EQUAL(Bytes(kSegmentHeader), EncodeSegmentHeader(kSegment));
    const std::string segment = Bytes(kSegmentHeader) + Bytes(kRecord);
    const auto record = ReadRecord(segment, kSegment, kOffset);
    CPPUNIT_ASSERT(record && record->type == record_type::kState);
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), std::string(record->payload));
    CPPUNIT_ASSERT_EQUAL(
        Bytes(kRecord),
        EncodeRecord(record_type::kState, "abc", kSegment, kOffset));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(storage_format_test);

}  // namespace marjoramsill
