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
  CPPUNIT_TEST(heartbeat_first_is_news_and_the_next_is_not);
  CPPUNIT_TEST(heartbeat_late_of_earlier_life_changes_nothing);
  CPPUNIT_TEST(heartbeat_late_after_announced_end_does_not_revive);
  CPPUNIT_TEST(end_of_an_unknown_endpoint_holds_against_a_late_heartbeat);
  CPPUNIT_TEST(end_of_an_unknown_endpoint_ends_it_where_it_is_known);
  CPPUNIT_TEST(endpoint_restarted_under_its_id_is_ready_again);
  CPPUNIT_TEST(endpoint_without_heartbeats_falls_silent_and_returns);
  CPPUNIT_TEST(endpoint_heard_elsewhere_is_not_called_silent_here);
  CPPUNIT_TEST(address_reused_ends_its_earlier_holder);
  CPPUNIT_TEST(address_claimed_by_a_late_heartbeat_stays_with_the_newer);
  CPPUNIT_TEST(changes_after_a_number_are_complete);
  CPPUNIT_TEST(records_merged_in_any_order_give_the_same_state);
  CPPUNIT_TEST_SUITE_END();

  static endpoint_record Record(const std::string& id, std::uint64_t born,
                                std::uint64_t sequence) {
    endpoint_record record;
    record.id = endpoint_id(id);
    record.pool = model_id("chat");
    record.address = "10.0.0.1:8080";
    record.domain = failure_domain_id("perth");
    record.slots = 8;
    record.born = incarnation(born);
    record.sequence = sequence;
    return record;
  }

  static endpoint_record Leaving(endpoint_record record) {
    record.phase = endpoint_phase::kLeaving;
    return record;
  }

  endpoint_phase PhaseOf(const std::string& id) const {
    return directory_.Find(endpoint_id(id))->phase;
  }

  static constexpr incarnation kWallNow{5'000};

  endpoint_directory directory_;
  steady_time now_{milliseconds(1'000)};

 public:
  void heartbeat_first_is_news_and_the_next_is_not() {
    CPPUNIT_ASSERT(directory_.Hear(Record("e", 100, 1), now_));
    CPPUNIT_ASSERT(!directory_.Hear(Record("e", 100, 2), now_));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, directory_.last_change());
  }

  void heartbeat_late_of_earlier_life_changes_nothing() {
    directory_.Hear(Record("e", 200, 1), now_);
    CPPUNIT_ASSERT(!directory_.Hear(Leaving(Record("e", 100, 9)), now_));
    CPPUNIT_ASSERT(PhaseOf("e") == endpoint_phase::kReady);
  }

  void heartbeat_late_after_announced_end_does_not_revive() {
    directory_.Hear(Record("e", 100, 1), now_);
    CPPUNIT_ASSERT(directory_.End(endpoint_id("e"), kWallNow, now_));
    // The number of this heartbeat is above all that were heard.
    CPPUNIT_ASSERT(!directory_.Hear(Record("e", 100, 9), now_));
    CPPUNIT_ASSERT(PhaseOf("e") == endpoint_phase::kGone);
  }

  void end_of_an_unknown_endpoint_holds_against_a_late_heartbeat() {
    // All control processes had just lost power: the one that acknowledged
    // the end had not heard of the endpoint, and a late heartbeat made it
    // ready again.
    CPPUNIT_ASSERT(directory_.End(endpoint_id("e"), kWallNow, now_));
    CPPUNIT_ASSERT(!directory_.Hear(Record("e", 100, 37), now_));
    CPPUNIT_ASSERT(PhaseOf("e") == endpoint_phase::kGone);
    CPPUNIT_ASSERT(directory_.Hear(Record("e", kWallNow.value() + 1, 1), now_));
    CPPUNIT_ASSERT(PhaseOf("e") == endpoint_phase::kReady);
  }

  void end_of_an_unknown_endpoint_ends_it_where_it_is_known() {
    directory_.End(endpoint_id("e"), kWallNow, now_);
    endpoint_directory entry;
    entry.Merge(Record("e", 100, 37), now_);
    for (const endpoint_record& each : directory_.ChangesAfter(0)) {
      entry.Merge(each, now_);
    }
    CPPUNIT_ASSERT(entry.Find(endpoint_id("e"))->phase ==
                   endpoint_phase::kGone);
  }

  void endpoint_restarted_under_its_id_is_ready_again() {
    directory_.Hear(Record("e", 100, 7), now_);
    directory_.End(endpoint_id("e"), kWallNow, now_);
    CPPUNIT_ASSERT(directory_.Hear(Record("e", 300, 1), now_));
    CPPUNIT_ASSERT(PhaseOf("e") == endpoint_phase::kReady);
  }

  void endpoint_without_heartbeats_falls_silent_and_returns() {
    directory_.Hear(Record("e", 100, 1), now_);
    CPPUNIT_ASSERT(!directory_.Expire(now_ + milliseconds(3'000)));
    CPPUNIT_ASSERT(directory_.Expire(now_ + milliseconds(4'000)));
    CPPUNIT_ASSERT(PhaseOf("e") == endpoint_phase::kSilent);
    CPPUNIT_ASSERT(
        directory_.Hear(Record("e", 100, 2), now_ + milliseconds(4'100)));
    CPPUNIT_ASSERT(PhaseOf("e") == endpoint_phase::kReady);
  }

  void endpoint_heard_elsewhere_is_not_called_silent_here() {
    // The endpoint has turned to another control process; the one that heard
    // it first must not call it silent.
    directory_.Hear(Record("e", 100, 1), now_);
    directory_.Merge(Record("e", 100, 2), now_);
    directory_.Expire(now_ + milliseconds(10'000));
    CPPUNIT_ASSERT(PhaseOf("e") == endpoint_phase::kReady);
  }

  void address_reused_ends_its_earlier_holder() {
    directory_.Hear(Record("old", 100, 1), now_);
    directory_.Hear(Record("new", 200, 1), now_);
    CPPUNIT_ASSERT(PhaseOf("old") == endpoint_phase::kGone);
    CPPUNIT_ASSERT(PhaseOf("new") == endpoint_phase::kReady);
  }

  void address_claimed_by_a_late_heartbeat_stays_with_the_newer() {
    directory_.Hear(Record("new", 200, 1), now_);
    directory_.Hear(Record("old", 100, 5), now_);
    CPPUNIT_ASSERT(PhaseOf("old") == endpoint_phase::kGone);
    CPPUNIT_ASSERT(PhaseOf("new") == endpoint_phase::kReady);
  }

  void changes_after_a_number_are_complete() {
    directory_.Hear(Record("a", 100, 1), now_);
    const std::uint64_t seen = directory_.last_change();
    endpoint_record other = Record("b", 100, 1);
    other.address = "10.0.0.2:8080";
    directory_.Hear(other, now_);
    directory_.Hear(Leaving(Record("a", 100, 2)), now_);
    const auto changes = directory_.ChangesAfter(seen);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes.size());
    CPPUNIT_ASSERT(directory_.ChangesAfter(directory_.last_change()).empty());
  }

  void records_merged_in_any_order_give_the_same_state() {
    std::vector<endpoint_record> records{
        Record("e", 100, 1),          Record("e", 100, 2),
        Leaving(Record("e", 100, 3)), Record("e", 200, 1),
        Leaving(Record("e", 200, 4)), Record("e", 200, 2)};
    std::mt19937 random(20261203);
    for (int round = 0; round < 200; ++round) {
      std::shuffle(records.begin(), records.end(), random);
      endpoint_directory merged;
      for (const endpoint_record& each : records) merged.Merge(each, now_);
      const endpoint_record* found = merged.Find(endpoint_id("e"));
      CPPUNIT_ASSERT(found->born == incarnation(200));
      CPPUNIT_ASSERT(found->phase == endpoint_phase::kLeaving);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_directory_test);

}  // namespace marjoramsill
