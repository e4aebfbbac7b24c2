#include "process/directory/endpoint_directory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace marjoramsill {

using std::chrono::milliseconds;

class endpoint_directory_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_directory_test);
  CPPUNIT_TEST(first_heartbeat_is_a_change_and_the_next_is_not);
  CPPUNIT_TEST(late_heartbeat_of_an_earlier_incarnation_is_ignored);
  CPPUNIT_TEST(late_heartbeat_after_the_announced_end_is_ignored);
  CPPUNIT_TEST(end_counts_after_a_late_heartbeat_with_a_greater_number);
  CPPUNIT_TEST(late_heartbeat_after_the_end_of_an_unknown_endpoint_is_ignored);
  CPPUNIT_TEST(end_of_an_unknown_endpoint_is_merged_into_other_directories);
  CPPUNIT_TEST(endpoint_restarted_with_the_same_id_becomes_ready);
  CPPUNIT_TEST(endpoint_without_heartbeats_becomes_silent_until_the_next_one);
  CPPUNIT_TEST(endpoint_that_sends_heartbeats_elsewhere_is_not_marked_silent);
  CPPUNIT_TEST(reused_address_ends_its_earlier_owner);
  CPPUNIT_TEST(late_heartbeat_does_not_take_an_address_from_a_newer_endpoint);
  CPPUNIT_TEST(software_of_a_replaced_record_is_kept);
  CPPUNIT_TEST(changes_after_a_number_are_complete);
  CPPUNIT_TEST(endpoint_that_turns_cold_is_a_change);
  CPPUNIT_TEST(heartbeats_of_one_warm_up_are_no_change);
  CPPUNIT_TEST(warm_up_that_ends_early_is_a_change);
  CPPUNIT_TEST(endpoint_of_a_known_id_that_starts_cold_is_urgent);
  CPPUNIT_TEST(records_merged_in_any_order_give_the_same_state);
  CPPUNIT_TEST_SUITE_END();

  static endpoint_record MakeRecord(const std::string& id,
                                    std::uint64_t incarnation,
                                    std::uint64_t sequence) {
    endpoint_record record;
    record.id = endpoint_id(id);
    record.pool = model_id("chat");
    record.address = "10.0.0.1:8080";
    record.domain = failure_domain_id("perth");
    record.slots = 8;
    record.incarnation = incarnation_number(incarnation);
    record.sequence = sequence;
    return record;
  }

  static endpoint_record Cold(std::uint64_t sequence, std::uint32_t cold_ms) {
    endpoint_record record = MakeRecord("e", 100, sequence);
    record.cold_ms = cold_ms;
    return record;
  }

  static endpoint_record Leaving(endpoint_record record) {
    record.phase = endpoint_phase::kLeaving;
    return record;
  }

  endpoint_phase PhaseOf(const std::string& id) const {
    return directory_.Find(endpoint_id(id))->phase;
  }

  static constexpr incarnation_number kWallNow{5'000};

  endpoint_directory directory_;
  steady_time now_{milliseconds(1'000)};

 public:
  // Guards against an endpoint that stays in use at a process which received a
  // late heartbeat before the record of the end.
  void end_counts_after_a_late_heartbeat_with_a_greater_number() {
    for (const std::uint64_t sequence : {4, 5, 9}) {
      endpoint_directory directory;
      directory.ReceiveHeartbeat(MakeRecord("a", 100, sequence), now_);
      endpoint_record ended = MakeRecord("a", 100, 5);
      ended.phase = endpoint_phase::kEnded;
      CPPUNIT_ASSERT(directory.Merge(ended, now_));
      directory.Merge(Leaving(MakeRecord("a", 100, 20)), now_);
      const endpoint_id id("a");
      CPPUNIT_ASSERT(directory.Find(id)->phase == endpoint_phase::kEnded);
      directory.ReceiveHeartbeat(MakeRecord("a", 101, 1), now_);
      CPPUNIT_ASSERT(directory.Find(id)->phase == endpoint_phase::kReady);
    }
  }

  // Guards against entry VMs that send a cold endpoint the usual load, since
  // nothing but its warm-up time has changed.
  void endpoint_that_turns_cold_is_a_change() {
    directory_.ReceiveHeartbeat(MakeRecord("e", 100, 1), now_);
    const std::uint64_t before = directory_.last_change();
    CPPUNIT_ASSERT(directory_.ReceiveHeartbeat(Cold(2, 9'000), now_));
    CPPUNIT_ASSERT(directory_.last_urgent() > before);
    now_ += milliseconds(1'200);
    // The endpoint turns cold again.
    CPPUNIT_ASSERT(directory_.ReceiveHeartbeat(Cold(3, 9'000), now_));
    CPPUNIT_ASSERT_EQUAL(directory_.last_change(), directory_.last_urgent());
    now_ += milliseconds(400);
    auto records = directory_.UrgentAfter(0, now_);
    directory_.SetRemainingCold(records, now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, records.size());
    CPPUNIT_ASSERT_EQUAL(8'600U, records[0].cold_ms);
  }

  // Guards against a response to every watcher with each heartbeat of a cold
  // endpoint. Heartbeats are up to 150 ms late.
  void heartbeats_of_one_warm_up_are_no_change() {
    directory_.ReceiveHeartbeat(Cold(1, 9'000), now_);
    for (std::uint32_t i = 1; i < 8; ++i) {
      const milliseconds delay(i % 4 * 50);
      CPPUNIT_ASSERT(
          !directory_.ReceiveHeartbeat(Cold(i + 1, 9'000 - i * 1'200),
                                       now_ + milliseconds(i * 1'200) + delay));
    }
    now_ += milliseconds(9'600);
    CPPUNIT_ASSERT(!directory_.ReceiveHeartbeat(Cold(9, 0), now_));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, directory_.last_urgent());
    auto records = directory_.ChangesAfter(0);
    directory_.SetRemainingCold(records, now_);
    CPPUNIT_ASSERT_EQUAL(0U, records[0].cold_ms);
  }

  void warm_up_that_ends_early_is_a_change() {
    directory_.ReceiveHeartbeat(Cold(1, 9'000), now_);
    now_ += milliseconds(1'200);
    CPPUNIT_ASSERT(directory_.ReceiveHeartbeat(Cold(2, 0), now_));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, directory_.last_urgent());
    CPPUNIT_ASSERT(directory_.UrgentAfter(0, now_).empty());
  }

  // Guards against a restart whose coldness waits for the end of the hold time.
  // Endpoints that entry VMs do not know yet get no requests before.
  void endpoint_of_a_known_id_that_starts_cold_is_urgent() {
    directory_.ReceiveHeartbeat(Cold(1, 9'000), now_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, directory_.last_urgent());
    endpoint_record restarted = Cold(1, 9'000);
    restarted.incarnation = incarnation_number(200);
    now_ += milliseconds(2'000);
    CPPUNIT_ASSERT(directory_.ReceiveHeartbeat(restarted, now_));
    CPPUNIT_ASSERT_EQUAL(directory_.last_change(), directory_.last_urgent());
  }

  void first_heartbeat_is_a_change_and_the_next_is_not() {
    CPPUNIT_ASSERT(directory_.ReceiveHeartbeat(MakeRecord("e", 100, 1), now_));
    CPPUNIT_ASSERT(!directory_.ReceiveHeartbeat(MakeRecord("e", 100, 2), now_));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, directory_.last_change());
  }

  void late_heartbeat_of_an_earlier_incarnation_is_ignored() {
    directory_.ReceiveHeartbeat(MakeRecord("e", 200, 1), now_);
    CPPUNIT_ASSERT(
        !directory_.ReceiveHeartbeat(Leaving(MakeRecord("e", 100, 9)), now_));
    CPPUNIT_ASSERT(PhaseOf("e") == endpoint_phase::kReady);
  }

  void late_heartbeat_after_the_announced_end_is_ignored() {
    directory_.ReceiveHeartbeat(MakeRecord("e", 100, 1), now_);
    CPPUNIT_ASSERT(directory_.End(endpoint_id("e"), kWallNow, now_));
    // This heartbeat has a higher sequence number than all received ones.
    CPPUNIT_ASSERT(!directory_.ReceiveHeartbeat(MakeRecord("e", 100, 9), now_));
    CPPUNIT_ASSERT(PhaseOf("e") == endpoint_phase::kEnded);
  }

  void late_heartbeat_after_the_end_of_an_unknown_endpoint_is_ignored() {
    // After a power failure of all control processes, one that did not know the
    // endpoint yet acknowledged its end. A late heartbeat must not make the
    // endpoint ready again.
    CPPUNIT_ASSERT(directory_.End(endpoint_id("e"), kWallNow, now_));
    CPPUNIT_ASSERT(
        !directory_.ReceiveHeartbeat(MakeRecord("e", 100, 37), now_));
    CPPUNIT_ASSERT(PhaseOf("e") == endpoint_phase::kEnded);
    CPPUNIT_ASSERT(directory_.ReceiveHeartbeat(
        MakeRecord("e", kWallNow.value() + 1, 1), now_));
    CPPUNIT_ASSERT(PhaseOf("e") == endpoint_phase::kReady);
  }

  void end_of_an_unknown_endpoint_is_merged_into_other_directories() {
    directory_.End(endpoint_id("e"), kWallNow, now_);
    endpoint_directory entry;
    entry.Merge(MakeRecord("e", 100, 37), now_);
    for (const endpoint_record& each : directory_.ChangesAfter(0)) {
      entry.Merge(each, now_);
    }
    CPPUNIT_ASSERT(entry.Find(endpoint_id("e"))->phase ==
                   endpoint_phase::kEnded);
  }

  void endpoint_restarted_with_the_same_id_becomes_ready() {
    directory_.ReceiveHeartbeat(MakeRecord("e", 100, 7), now_);
    directory_.End(endpoint_id("e"), kWallNow, now_);
    CPPUNIT_ASSERT(directory_.ReceiveHeartbeat(MakeRecord("e", 300, 1), now_));
    CPPUNIT_ASSERT(PhaseOf("e") == endpoint_phase::kReady);
  }

  void endpoint_without_heartbeats_becomes_silent_until_the_next_one() {
    directory_.ReceiveHeartbeat(MakeRecord("e", 100, 1), now_);
    CPPUNIT_ASSERT(!directory_.Expire(now_ + milliseconds(3'000)));
    CPPUNIT_ASSERT(directory_.Expire(now_ + milliseconds(4'000)));
    CPPUNIT_ASSERT(PhaseOf("e") == endpoint_phase::kSilent);
    CPPUNIT_ASSERT(directory_.ReceiveHeartbeat(MakeRecord("e", 100, 2),
                                               now_ + milliseconds(4'100)));
    CPPUNIT_ASSERT(PhaseOf("e") == endpoint_phase::kReady);
  }

  void endpoint_that_sends_heartbeats_elsewhere_is_not_marked_silent() {
    // The endpoint now sends its heartbeats to another control process. The one
    // that received the first heartbeat must not mark it as silent.
    directory_.ReceiveHeartbeat(MakeRecord("e", 100, 1), now_);
    directory_.Merge(MakeRecord("e", 100, 2), now_);
    directory_.Expire(now_ + milliseconds(10'000));
    CPPUNIT_ASSERT(PhaseOf("e") == endpoint_phase::kReady);
  }

  void reused_address_ends_its_earlier_owner() {
    directory_.ReceiveHeartbeat(MakeRecord("old", 100, 1), now_);
    directory_.ReceiveHeartbeat(MakeRecord("new", 200, 1), now_);
    CPPUNIT_ASSERT(PhaseOf("old") == endpoint_phase::kEnded);
    CPPUNIT_ASSERT(PhaseOf("new") == endpoint_phase::kReady);
  }

  void late_heartbeat_does_not_take_an_address_from_a_newer_endpoint() {
    directory_.ReceiveHeartbeat(MakeRecord("new", 200, 1), now_);
    directory_.ReceiveHeartbeat(MakeRecord("old", 100, 5), now_);
    CPPUNIT_ASSERT(PhaseOf("old") == endpoint_phase::kEnded);
    CPPUNIT_ASSERT(PhaseOf("new") == endpoint_phase::kReady);
  }

  // Guards against software that leaves no trace when its endpoint starts again
  // with another one under its id.
  void software_of_a_replaced_record_is_kept() {
    endpoint_record record = MakeRecord("e", 100, 1);
    record.software = "v1";
    const software_digest first = DigestOfSoftware(record);
    directory_.ReceiveHeartbeat(record, now_);
    CPPUNIT_ASSERT(directory_.former_software().All(now_).empty());
    now_ += milliseconds(500);
    record.incarnation = incarnation_number(200);
    record.software = "v2";
    directory_.ReceiveHeartbeat(record, now_);
    const auto former = directory_.former_software().All(now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, former.size());
    CPPUNIT_ASSERT(former.front().software == first);
    CPPUNIT_ASSERT(former.front().pool == DigestOf(record.pool));
    endpoint_directory other;
    other.MergeFormerSoftware(former, now_);
    now_ += milliseconds(1'000);
    CPPUNIT_ASSERT(other.former_software().All(now_).front().age ==
                   milliseconds(1'000));
    now_ += std::chrono::minutes(3);
    other.Expire(now_);
    CPPUNIT_ASSERT(other.former_software().All(now_).empty());
  }

  void changes_after_a_number_are_complete() {
    directory_.ReceiveHeartbeat(MakeRecord("a", 100, 1), now_);
    const std::uint64_t seen = directory_.last_change();
    endpoint_record other = MakeRecord("b", 100, 1);
    other.address = "10.0.0.2:8080";
    directory_.ReceiveHeartbeat(other, now_);
    directory_.ReceiveHeartbeat(Leaving(MakeRecord("a", 100, 2)), now_);
    const auto changes = directory_.ChangesAfter(seen);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes.size());
    CPPUNIT_ASSERT(directory_.ChangesAfter(directory_.last_change()).empty());
  }

  void records_merged_in_any_order_give_the_same_state() {
    std::vector<endpoint_record> records{
        MakeRecord("e", 100, 1),          MakeRecord("e", 100, 2),
        Leaving(MakeRecord("e", 100, 3)), MakeRecord("e", 200, 1),
        Leaving(MakeRecord("e", 200, 4)), MakeRecord("e", 200, 2)};
    std::mt19937 random(20261203);
    for (int round = 0; round < 200; ++round) {
      std::shuffle(records.begin(), records.end(), random);
      endpoint_directory merged;
      for (const endpoint_record& each : records) merged.Merge(each, now_);
      const endpoint_record* found = merged.Find(endpoint_id("e"));
      CPPUNIT_ASSERT(found->incarnation == incarnation_number(200));
      CPPUNIT_ASSERT(found->phase == endpoint_phase::kLeaving);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_directory_test);

}  // namespace marjoramsill
