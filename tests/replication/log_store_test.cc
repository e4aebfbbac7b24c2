#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "memory_disk.h"
#include "process/replication/log_store.h"
#include "process/replication/storage_codec.h"

namespace marjoramsill {
namespace {

snapshot Snapshot(std::uint64_t index, std::uint64_t term) {
  snapshot taken;
  taken.index = log_index(index);
  taken.term = log_term(term);
  taken.configuration.Set({{vm_id("a"), disk_id(1)}, {}, true});
  taken.data = std::make_shared<const std::string>("state");
  return taken;
}

log_entry Entry(std::uint64_t index, std::uint64_t term) {
  return {log_index(index), log_term(term), entry_kind::kCommand,
          "command " + std::to_string(index)};
}

storage_writes Entries(std::uint64_t from, std::uint64_t to) {
  storage_writes writes;
  for (std::uint64_t i = from; i <= to; ++i)
    writes.entries.push_back(Entry(i, 1));
  return writes;
}

/// A disk with a snapshot at index 1 and the entries 2 to 40 in several
/// segments.
memory_disk SampleDisk() {
  memory_disk disk;
  log_store store(disk, 300);
  CPPUNIT_ASSERT(store.Open().has_value());
  storage_writes first = Entries(2, 2);
  first.stored_snapshot = Snapshot(1, 1);
  first.state = hard_state{log_term(3),
                           member_id{vm_id("b"), disk_id(2)},
                           4,
                           {{{vm_id("c"), disk_id(3)}, 5, 6}}};
  CPPUNIT_ASSERT(store.Write(first).has_value());
  CPPUNIT_ASSERT(store.Write(Entries(3, 40)).has_value());
  CPPUNIT_ASSERT(store.Sync().has_value());
  CPPUNIT_ASSERT(disk.files().size() > 4);
  return disk;
}

std::string LastSegment(memory_disk& disk) {
  std::string last;
  for (const auto& [name, bytes] : disk.files()) {
    if (name.starts_with("segment-")) last = name;
  }
  return last;
}

}  // namespace

class log_store_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(log_store_test);
  CPPUNIT_TEST(store_reopened_returns_all_that_was_synced);
  CPPUNIT_TEST(store_torn_tail_is_truncated_and_writes_continue);
  CPPUNIT_TEST(store_with_any_unsynced_write_lost_keeps_what_was_synced);
  CPPUNIT_TEST(store_flipped_byte_in_synced_records_of_last_segment_is_refused);
  CPPUNIT_TEST(store_segment_of_an_earlier_build_is_read_as_before);
  CPPUNIT_TEST(store_any_flipped_byte_before_the_tail_is_corruption);
  CPPUNIT_TEST(store_missing_segment_is_corruption);
  CPPUNIT_TEST(store_newer_format_is_refused);
  CPPUNIT_TEST(store_after_failed_sync_refuses_everything);
  CPPUNIT_TEST(store_with_room_again_takes_a_write_that_replaces_all);
  CPPUNIT_TEST(store_snapshot_over_other_log_discards_the_log);
  CPPUNIT_TEST(store_compaction_removes_old_segments);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against state that is lost or changed by a restart.
  void store_reopened_returns_all_that_was_synced() {
    memory_disk disk = SampleDisk();
    log_store store(disk, 300);
    auto state = store.Open();
    CPPUNIT_ASSERT(state.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{39}, state.value().entries.size());
    CPPUNIT_ASSERT(state.value().entries.back() == Entry(40, 1));
    CPPUNIT_ASSERT(state.value().state.term == log_term(3));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6},
                         state.value().state.known_starts[0].run);
    storage_writes cut;
    cut.truncate_from = log_index(30);
    cut.entries = {Entry(30, 2)};
    CPPUNIT_ASSERT(store.Write(cut).has_value());
    CPPUNIT_ASSERT(store.Sync().has_value());
    state = log_store(disk, 300).Open();
    CPPUNIT_ASSERT(state.value().entries.back() == Entry(30, 2));
  }

  // Guards against a member that cannot start after a power loss.
  void store_torn_tail_is_truncated_and_writes_continue() {
    const memory_disk sample = SampleDisk();
    for (std::size_t lost = 1; lost < 30; ++lost) {
      memory_disk disk = sample;
      std::string& bytes = disk.files()[LastSegment(disk)];
      if (lost >= bytes.size()) break;
      bytes.resize(bytes.size() - lost);
      log_store store(disk, 300);
      auto state = store.Open();
      CPPUNIT_ASSERT(state.has_value());
      const std::uint64_t last = state.value().entries.back().index.value();
      CPPUNIT_ASSERT(last >= 38 && last < 40);
      CPPUNIT_ASSERT(store.Write(Entries(last + 1, 41)).has_value());
      CPPUNIT_ASSERT(store.Sync().has_value());
      state = log_store(disk, 300).Open();
      CPPUNIT_ASSERT(state.value().entries.back() == Entry(41, 1));
    }
  }

  // Guards against a member that never starts again because a write was lost
  // with the power while a later one of the same sync was kept.
  void store_with_any_unsynced_write_lost_keeps_what_was_synced() {
    constexpr std::uint64_t kPowerLosses = 500;
    // Small segments are created among the unsynced writes, large ones not.
    for (const std::size_t segment_bytes : {300, 100'000}) {
      for (std::uint64_t seed = 1; seed <= kPowerLosses; ++seed) {
        std::mt19937_64 random(seed);
        memory_disk disk = SampleDisk();
        log_store store(disk, segment_bytes);
        CPPUNIT_ASSERT(store.Open().has_value());
        CPPUNIT_ASSERT(store.Write(Entries(41, 43)).has_value());
        CPPUNIT_ASSERT(store.Sync().has_value());
        storage_writes unsynced = Entries(44, 50);
        unsynced.state = hard_state{log_term(8), std::nullopt, 5, {}};
        CPPUNIT_ASSERT(store.Write(unsynced).has_value());
        disk.LosePower([&random] { return random(); });
        log_store reopened(disk, segment_bytes);
        auto state = reopened.Open();
        CPPUNIT_ASSERT_MESSAGE(
            "seed " + std::to_string(seed) +
                (state ? "" : ": " + state.error().file + state.error().detail),
            state.has_value());
        const std::uint64_t last = state.value().entries.back().index.value();
        CPPUNIT_ASSERT(last >= 43 && last <= 50);
        CPPUNIT_ASSERT(reopened.Write(Entries(last + 1, 51)).has_value());
        CPPUNIT_ASSERT(reopened.Sync().has_value());
        state = log_store(disk, segment_bytes).Open();
        CPPUNIT_ASSERT(state.value().entries.back() == Entry(51, 1));
      }
    }
  }

  // Guards against damage to durable records that is taken for a loss of power.
  void store_flipped_byte_in_synced_records_of_last_segment_is_refused() {
    memory_disk sample = SampleDisk();
    log_store store(sample, 100'000);
    CPPUNIT_ASSERT(store.Open().has_value());
    CPPUNIT_ASSERT(store.Write(Entries(41, 43)).has_value());
    CPPUNIT_ASSERT(store.Sync().has_value());
    const std::string last = LastSegment(sample);
    const std::size_t synced = sample.files()[last].size();
    CPPUNIT_ASSERT(store.Write(Entries(44, 44)).has_value());
    for (std::size_t i = 0; i < synced; ++i) {
      memory_disk disk = sample;
      disk.files()[last][i] ^= 0x40;
      const auto state = log_store(disk, 300).Open();
      CPPUNIT_ASSERT_MESSAGE(std::to_string(i), !state.has_value());
    }
  }

  // Guards against a build that takes damage in a segment of an earlier one,
  // whose records do not name what was durable, for a loss of power.
  void store_segment_of_an_earlier_build_is_read_as_before() {
    const std::string name = "segment-00000000000000000001";
    std::string segment = EncodeSegmentHeader(1);
    const auto append = [&segment](record_type type,
                                   const std::string& payload) {
      segment += EncodeRecord(type, payload, 1, segment.size());
    };
    append(record_type::kState, EncodeState({}));
    const std::size_t first = segment.size();
    append(record_type::kEntry, EncodeLogEntry(Entry(2, 1)));
    append(record_type::kEntry, EncodeLogEntry(Entry(3, 1)));
    memory_disk disk;
    disk.files()["snapshot"] = EncodeSnapshotFile(Snapshot(1, 1));
    disk.files()[name] = segment;
    auto state = log_store(disk).Open();
    CPPUNIT_ASSERT(state.has_value());
    CPPUNIT_ASSERT(state.value().entries.back() == Entry(3, 1));
    disk.files()[name][first] ^= 0x40;
    state = log_store(disk).Open();
    CPPUNIT_ASSERT(state.error().kind == storage_error_kind::kCorrupt);
  }

  // Guards against entries that are lost without an error.
  void store_any_flipped_byte_before_the_tail_is_corruption() {
    const memory_disk sample = SampleDisk();
    memory_disk copy = sample;
    const std::string last = LastSegment(copy);
    for (const auto& [name, bytes] : copy.files()) {
      if (name == last) continue;
      for (std::size_t i = 0; i < bytes.size(); ++i) {
        memory_disk disk = sample;
        disk.files()[name][i] ^= 0x40;
        auto state = log_store(disk, 300).Open();
        CPPUNIT_ASSERT(!state.has_value());
        const storage_error_kind kind = state.error().kind;
        CPPUNIT_ASSERT(kind == storage_error_kind::kCorrupt ||
                       kind == storage_error_kind::kUnknownVersion);
        CPPUNIT_ASSERT_EQUAL(name, state.error().file);
      }
    }
  }

  // Guards against a log with missing entries.
  void store_missing_segment_is_corruption() {
    memory_disk disk = SampleDisk();
    disk.files().erase("segment-00000000000000000002");
    CPPUNIT_ASSERT(log_store(disk).Open().error().kind ==
                   storage_error_kind::kCorrupt);
    disk = SampleDisk();
    disk.files().erase("snapshot");
    CPPUNIT_ASSERT(log_store(disk).Open().error().kind ==
                   storage_error_kind::kCorrupt);
  }

  // Guards against a downgraded process that misinterprets newer files.
  void store_newer_format_is_refused() {
    memory_disk disk = SampleDisk();
    disk.files()[LastSegment(disk)][4] = 2;
    CPPUNIT_ASSERT(log_store(disk).Open().error().kind ==
                   storage_error_kind::kUnknownVersion);
  }

  // Guards against a sync that succeeds after a failed one lost pages.
  void store_after_failed_sync_refuses_everything() {
    memory_disk disk = SampleDisk();
    log_store store(disk, 300);
    CPPUNIT_ASSERT(store.Open().has_value());
    disk.FailNextSync();
    // Write syncs a full segment before it starts the next one.
    auto outcome = store.Write(Entries(41, 41));
    if (outcome) outcome = store.Sync();
    CPPUNIT_ASSERT(outcome.error().kind == storage_error_kind::kSyncFailed);
    CPPUNIT_ASSERT(!store.Sync().has_value());
    CPPUNIT_ASSERT(!store.Write(Entries(42, 42)).has_value());
  }

  // Guards against a store that refuses writes for good after its disk was full
  // once.
  void store_with_room_again_takes_a_write_that_replaces_all() {
    memory_disk disk = SampleDisk();
    log_store store(disk, 300);
    CPPUNIT_ASSERT(store.Open().has_value());
    disk.SetRoom(50);
    CPPUNIT_ASSERT(!store.Write(Entries(41, 60)).has_value());
    storage_writes all;
    all.stored_snapshot = Snapshot(100, 1);
    all.replaces_all = true;
    CPPUNIT_ASSERT(!store.Write(all).has_value());
    disk.SetRoom(std::nullopt);
    CPPUNIT_ASSERT(!store.Write(Entries(41, 60)).has_value());
    CPPUNIT_ASSERT(store.Write(all).has_value());
    CPPUNIT_ASSERT(store.Write(Entries(101, 102)).has_value());
    CPPUNIT_ASSERT(store.Sync().has_value());
    const auto state = log_store(disk, 300).Open();
    CPPUNIT_ASSERT(state.has_value());
    CPPUNIT_ASSERT(state.value().stored_snapshot->index == log_index(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.value().entries.size());
  }

  // Guards against an unusable log after the process stopped between writing a
  // snapshot and resetting the log.
  void store_snapshot_over_other_log_discards_the_log() {
    memory_disk disk = SampleDisk();
    storage_writes writes;
    writes.stored_snapshot = Snapshot(50, 4);
    log_store store(disk, 300);
    CPPUNIT_ASSERT(store.Open().has_value());
    CPPUNIT_ASSERT(store.Write(writes).has_value());
    log_store reopened(disk, 300);
    auto state = reopened.Open();
    CPPUNIT_ASSERT(state.has_value());
    CPPUNIT_ASSERT(state.value().entries.empty());
    CPPUNIT_ASSERT(reopened.Write(Entries(51, 52)).has_value());
    CPPUNIT_ASSERT(reopened.Sync().has_value());
    state = log_store(disk, 300).Open();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.value().entries.size());
  }

  // Guards against a disk that fills up with entries covered by a snapshot.
  void store_compaction_removes_old_segments() {
    memory_disk disk = SampleDisk();
    const std::size_t before = disk.files().size();
    log_store store(disk, 300);
    CPPUNIT_ASSERT(store.Open().has_value());
    storage_writes writes;
    writes.stored_snapshot = Snapshot(35, 1);
    writes.compact_before = log_index(30);
    CPPUNIT_ASSERT(store.Write(writes).has_value());
    CPPUNIT_ASSERT(store.Sync().has_value());
    CPPUNIT_ASSERT(disk.files().size() < before);
    auto state = log_store(disk, 300).Open();
    CPPUNIT_ASSERT(state.value().state.term == log_term(3));
    CPPUNIT_ASSERT(state.value().entries.front().index <= log_index(30));
    CPPUNIT_ASSERT(state.value().entries.back() == Entry(40, 1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_store_test);

}  // namespace marjoramsill
