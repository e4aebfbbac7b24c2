#include "process/claims/claim_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include "process/claims/claim_group_clock.h"
#include "process/claims/claim_key.h"
#include "process/claims/claim_owner.h"
#include "process/claims/claim_shard.h"
#include "process/claims/claim_time.h"
#include "process/claims/content_hash.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;
using kind = claim_command_kind;
using outcome = claim_outcome;

const claim_owner kOwnerA{vm_id("vm-a"), incarnation_number(1), 1};
const claim_owner kOwnerB{vm_id("vm-b"), incarnation_number(1), 1};

claim_command Make(kind what, const claim_owner& owner, std::uint64_t time) {
  claim_command command;
  command.kind = what;
  command.time = claim_time(time);
  command.key = {workspace_id("rink"), idempotency_key("book-1")};
  command.owner = owner;
  command.request_hash = {1, 2};
  command.deadline_in = milliseconds(1000);
  if (what == kind::kFinish) {
    command.response.status = 201;
    command.response.headers = {{"location", "/bookings/1"}};
    command.response.body = "booked";
    command.response.body_size = 6;
    command.response.body_hash = HashContent("booked");
  }
  return command;
}

outcome Run(claim_table& table, const claim_command& command) {
  const auto applied = table.Apply(EncodeClaimCommand(command));
  CPPUNIT_ASSERT(applied.has_value());
  return applied.value().outcome;
}

outcome Run(claim_table& table, kind what, const claim_owner& owner,
            std::uint64_t time) {
  return Run(table, Make(what, owner, time));
}

}  // namespace

class claim_table_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(claim_table_test);
  CPPUNIT_TEST(claim_taken_by_another_is_in_progress_until_deadline);
  CPPUNIT_TEST(claim_sent_again_by_its_owner_is_granted_again);
  CPPUNIT_TEST(claim_of_restarted_owner_is_unknown_at_once);
  CPPUNIT_TEST(finish_by_owner_stores_response_unchanged);
  CPPUNIT_TEST(finish_or_release_by_another_is_refused);
  CPPUNIT_TEST(finish_in_full_body_budget_keeps_hash_only);
  CPPUNIT_TEST(unknown_claim_is_never_granted_but_may_be_finished);
  CPPUNIT_TEST(key_with_another_request_is_reported_as_reused);
  CPPUNIT_TEST(released_claim_is_granted_to_others_but_not_to_its_copy);
  CPPUNIT_TEST(release_that_overtakes_its_claim_refuses_it);
  CPPUNIT_TEST(earlier_time_in_a_command_is_ignored);
  CPPUNIT_TEST(expire_after_retention_removes_a_limited_number);
  CPPUNIT_TEST(full_table_refuses_claims);
  CPPUNIT_TEST(snapshot_restored_is_equal);
  CPPUNIT_TEST(group_clock_of_next_leader_continues);
  CPPUNIT_TEST(shard_of_keys_is_fixed_and_even);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against two owners of one key, and against a second run after the
  // owner's deadline, when the owner may have crashed.
  void claim_taken_by_another_is_in_progress_until_deadline() {
    CPPUNIT_ASSERT(Run(table_, kind::kClaim, kOwnerA, 10) == outcome::kGranted);
    const auto applied = table_.Apply(Make(kind::kClaim, kOwnerB, 400));
    CPPUNIT_ASSERT(applied.outcome == outcome::kInProgress);
    CPPUNIT_ASSERT(applied.deadline_in == milliseconds(610));
    CPPUNIT_ASSERT(Run(table_, kind::kClaim, kOwnerB, 1010) ==
                   outcome::kOutcomeUnknown);
    CPPUNIT_ASSERT(Run(table_, kind::kLookUp, kOwnerB, 1010) ==
                   outcome::kOutcomeUnknown);
  }

  // Guards against an owner that is refused because of its own first claim,
  // when only the response was lost.
  void claim_sent_again_by_its_owner_is_granted_again() {
    CPPUNIT_ASSERT(Run(table_, kind::kClaim, kOwnerA, 10) == outcome::kGranted);
    CPPUNIT_ASSERT(Run(table_, kind::kClaim, kOwnerA, 20) == outcome::kGranted);
    claim_owner second = kOwnerA;
    second.serial = 2;
    CPPUNIT_ASSERT(Run(table_, kind::kClaim, second, 30) ==
                   outcome::kInProgress);
  }

  // Guards against a response that makes the caller wait for a VM that has
  // restarted.
  void claim_of_restarted_owner_is_unknown_at_once() {
    Run(table_, kind::kClaim, kOwnerA, 10);
    claim_owner restarted = kOwnerA;
    restarted.incarnation = incarnation_number(2);
    CPPUNIT_ASSERT(Run(table_, kind::kClaim, restarted, 20) ==
                   outcome::kOutcomeUnknown);
    CPPUNIT_ASSERT(Run(table_, kind::kRelease, restarted, 30) ==
                   outcome::kNotOwner);
  }

  // Guards against a repeated request that runs again or gets a different
  // response.
  void finish_by_owner_stores_response_unchanged() {
    Run(table_, kind::kClaim, kOwnerA, 10);
    const claim_command finish = Make(kind::kFinish, kOwnerA, 20);
    CPPUNIT_ASSERT(Run(table_, finish) == outcome::kDone);
    claim_command other = finish;
    other.response.body = "BOOKED";
    other.response.body_hash = HashContent("BOOKED");
    CPPUNIT_ASSERT(Run(table_, other) == outcome::kDone);
    CPPUNIT_ASSERT(Run(table_, kind::kMarkUnknown, kOwnerA, 30) ==
                   outcome::kDone);
    const auto applied = table_.Apply(Make(kind::kClaim, kOwnerB, 5000));
    CPPUNIT_ASSERT(applied.outcome == outcome::kFinished);
    CPPUNIT_ASSERT(applied.response == finish.response);
  }

  // Guards against a VM that ends a claim that it does not own.
  void finish_or_release_by_another_is_refused() {
    CPPUNIT_ASSERT(Run(table_, kind::kFinish, kOwnerB, 5) == outcome::kAbsent);
    Run(table_, kind::kClaim, kOwnerA, 10);
    for (kind what : {kind::kFinish, kind::kRelease, kind::kMarkUnknown}) {
      CPPUNIT_ASSERT(Run(table_, what, kOwnerB, 20) == outcome::kNotOwner);
    }
    CPPUNIT_ASSERT(Run(table_, kind::kFinish, kOwnerA, 30) == outcome::kDone);
    CPPUNIT_ASSERT(Run(table_, kind::kRelease, kOwnerA, 40) ==
                   outcome::kNotOwner);
  }

  // Guards against large responses that exhaust the memory.
  void finish_in_full_body_budget_keeps_hash_only() {
    claim_table small({.max_records = 10, .max_body_bytes = 5});
    Run(small, kind::kClaim, kOwnerA, 10);
    Run(small, kind::kFinish, kOwnerA, 20);
    const auto applied = small.Apply(Make(kind::kClaim, kOwnerB, 30));
    CPPUNIT_ASSERT(applied.outcome == outcome::kFinished);
    CPPUNIT_ASSERT(!applied.response->body_kept);
    CPPUNIT_ASSERT(applied.response->body_hash == HashContent("booked"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, small.body_bytes());
  }

  // Guards against a second run after a lost response.
  void unknown_claim_is_never_granted_but_may_be_finished() {
    Run(table_, kind::kClaim, kOwnerA, 10);
    Run(table_, kind::kMarkUnknown, kOwnerA, 20);
    for (const auto& owner : {kOwnerA, kOwnerB}) {
      CPPUNIT_ASSERT(Run(table_, kind::kClaim, owner, 30) ==
                     outcome::kOutcomeUnknown);
    }
    CPPUNIT_ASSERT(Run(table_, kind::kRelease, kOwnerA, 40) ==
                   outcome::kNotOwner);
    CPPUNIT_ASSERT(Run(table_, kind::kFinish, kOwnerA, 50) == outcome::kDone);
  }

  // Guards against the response to one booking being given to another.
  void key_with_another_request_is_reported_as_reused() {
    claim_command other = Make(kind::kClaim, kOwnerB, 20);
    other.request_hash = {1, 3};
    Run(table_, kind::kClaim, kOwnerA, 10);
    CPPUNIT_ASSERT(Run(table_, other) == outcome::kKeyReused);
    Run(table_, kind::kFinish, kOwnerA, 30);
    CPPUNIT_ASSERT(Run(table_, other) == outcome::kKeyReused);
  }

  // Guards against a delayed copy of a claim that blocks the key again after
  // its owner released it.
  void released_claim_is_granted_to_others_but_not_to_its_copy() {
    Run(table_, kind::kClaim, kOwnerA, 10);
    CPPUNIT_ASSERT(Run(table_, kind::kRelease, kOwnerA, 20) == outcome::kDone);
    CPPUNIT_ASSERT(Run(table_, kind::kClaim, kOwnerA, 30) ==
                   outcome::kClaimReleased);
    CPPUNIT_ASSERT(Run(table_, kind::kFinish, kOwnerA, 30) ==
                   outcome::kNotOwner);
    claim_owner next = kOwnerA;
    next.serial = 2;
    CPPUNIT_ASSERT(Run(table_, kind::kClaim, next, 40) == outcome::kGranted);
    CPPUNIT_ASSERT(Run(table_, kind::kRelease, kOwnerA, 50) ==
                   outcome::kNotOwner);
  }

  // Guards against a claim that is granted after its owner released it.
  void release_that_overtakes_its_claim_refuses_it() {
    CPPUNIT_ASSERT(Run(table_, kind::kRelease, kOwnerA, 10) == outcome::kDone);
    CPPUNIT_ASSERT(Run(table_, kind::kClaim, kOwnerA, 20) ==
                   outcome::kClaimReleased);
    CPPUNIT_ASSERT(Run(table_, kind::kClaim, kOwnerB, 30) == outcome::kGranted);
  }

  // Guards against a passed deadline that lies in the future again under a new
  // leader.
  void earlier_time_in_a_command_is_ignored() {
    Run(table_, kind::kClaim, kOwnerA, 10);
    Run(table_, kind::kLookUp, kOwnerB, 2000);
    CPPUNIT_ASSERT(Run(table_, kind::kClaim, kOwnerB, 20) ==
                   outcome::kOutcomeUnknown);
    CPPUNIT_ASSERT(table_.time() == claim_time(2000));
  }

  // Guards against records that are never removed or removed too early, and
  // against a long pause for the removal of all records at once.
  void expire_after_retention_removes_a_limited_number() {
    for (int i = 0; i < 3; ++i) {
      claim_command claim = Make(kind::kClaim, kOwnerA, 0);
      claim.key.key = idempotency_key(std::to_string(i));
      Run(table_, claim);
    }
    const std::uint64_t day = 24ULL * 3600 * 1000;
    claim_command expire = Make(kind::kExpire, kOwnerA, day + 999);
    expire.limit = 2;
    CPPUNIT_ASSERT_EQUAL(0U, table_.Apply(expire).removed);
    expire.time = claim_time(day + 1000);
    CPPUNIT_ASSERT_EQUAL(2U, table_.Apply(expire).removed);
    CPPUNIT_ASSERT_EQUAL(1U, table_.Apply(expire).removed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table_.size());
  }

  // Guards against unbounded memory.
  void full_table_refuses_claims() {
    claim_table small({.max_records = 1, .max_body_bytes = 5});
    Run(small, kind::kClaim, kOwnerA, 10);
    claim_command other = Make(kind::kClaim, kOwnerB, 20);
    other.key.key = idempotency_key("book-2");
    CPPUNIT_ASSERT(Run(small, other) == outcome::kFull);
    other.kind = kind::kRelease;
    Run(small, other);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, small.size());
  }

  // Guards against a member that responds differently after a restart.
  void snapshot_restored_is_equal() {
    Run(table_, kind::kClaim, kOwnerA, 10);
    Run(table_, kind::kFinish, kOwnerA, 20);
    claim_command other = Make(kind::kRelease, kOwnerB, 30);
    other.key.key = idempotency_key("book-2");
    Run(table_, other);
    claim_table restored;
    CPPUNIT_ASSERT(restored.Restore(table_.Snapshot()).has_value());
    CPPUNIT_ASSERT(restored.Snapshot() == table_.Snapshot());
    CPPUNIT_ASSERT_EQUAL(table_.body_bytes(), restored.body_bytes());
    const claim_command claim = Make(kind::kClaim, kOwnerB, 40);
    CPPUNIT_ASSERT(restored.Apply(claim) == table_.Apply(claim));
  }

  // Guards against a retention that depends on the clock of a single VM.
  void group_clock_of_next_leader_continues() {
    claim_group_clock clock;
    clock.Begin(claim_time(5000), steady_time(std::chrono::hours(7)));
    const steady_time later(std::chrono::hours(7) + milliseconds(20));
    CPPUNIT_ASSERT(clock.Stamp(later) == claim_time(5020));
  }

  // Guards against a changed mapping from keys to groups, which would lose all
  // claims, and against an uneven distribution of keys.
  void shard_of_keys_is_fixed_and_even() {
    const claim_key fixed{workspace_id("rink"), idempotency_key("book-1")};
    CPPUNIT_ASSERT_EQUAL(std::size_t{kFixedShard}, ClaimShardFor(fixed, 16));
    const claim_key moved{workspace_id("rinkb"), idempotency_key("ook-1")};
    CPPUNIT_ASSERT(std::hash<claim_key>()(fixed) !=
                   std::hash<claim_key>()(moved));
    std::vector<int> counts(16);
    for (int i = 0; i < 16000; ++i) {
      ++counts[ClaimShardFor({workspace_id("w" + std::to_string(i % 10)),
                              idempotency_key("k" + std::to_string(i))},
                             16)];
    }
    for (int count : counts) CPPUNIT_ASSERT(count > 850 && count < 1150);
  }

 private:
  // Computed once by ClaimShardFor; part of the storage format.
  static constexpr std::size_t kFixedShard = 2;

  claim_table table_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_table_test);

}  // namespace marjoramsill
