#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>

#include "claims/claim_world.h"
#include "process/claims/claim_time.h"

namespace marjoramsill {

class claim_schedule_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(claim_schedule_test);
  CPPUNIT_TEST(any_schedule_runs_a_key_at_most_once);
  CPPUNIT_TEST(any_commands_keep_a_restored_member_equal);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against any order of crashes, losses, delays, copies and repeats
  // that runs a key twice, makes a "not run" false, changes a stored response,
  // leaves a caller without its answer or lets two members differ.
  void any_schedule_runs_a_key_at_most_once() {
    claim_world_counts counts;
    CheckProperty("claim schedules", 10000,
                  [&counts] { claim_world(*ScheduleOf(160), counts).Run(); });
    std::cerr << " runs=" << counts.runs
              << " first_responses=" << counts.first_responses
              << " stored_responses=" << counts.stored_responses
              << " not_run=" << counts.not_run << " unknown=" << counts.unknown
              << " late_grants=" << counts.late_grants;
    // Every kind of ending must be common, or the schedules show nothing.
    CPPUNIT_ASSERT(counts.runs > 1000);
    CPPUNIT_ASSERT(counts.first_responses > 500);
    CPPUNIT_ASSERT(counts.stored_responses > 100);
    CPPUNIT_ASSERT(counts.not_run > 1000);
    CPPUNIT_ASSERT(counts.unknown > 1000);
    CPPUNIT_ASSERT(counts.late_grants > 100);
  }

  // Guards against members that differ after one was restored from a snapshot,
  // with records that expire by time, by command or not yet.
  void any_commands_keep_a_restored_member_equal() {
    CheckProperty("claim commands", 2000, [] {
      schedule_reader dice(*ScheduleOf(400));
      const claim_table_limits limits{.max_records = 4, .max_body_bytes = 20};
      claim_table member(limits);
      claim_table restored(limits);
      for (std::uint64_t time = 0; !dice.ended();) {
        time += dice.Pick(300);
        const std::string bytes = EncodeClaimCommand(Command(dice, time));
        RC_ASSERT(member.Apply(bytes).value() == restored.Apply(bytes).value());
        RC_ASSERT(member.size() <= limits.max_records);
        RC_ASSERT(member.body_bytes() <= limits.max_body_bytes);
        if (dice.Pick(4) != 0) continue;
        const std::string snapshot = member.Snapshot();
        RC_ASSERT(restored.Snapshot() == snapshot);
        restored = claim_table(limits);
        RC_ASSERT(restored.Restore(snapshot).has_value());
      }
    });
  }

 private:
  static claim_command Command(schedule_reader& dice, std::uint64_t time) {
    claim_command command;
    command.kind = static_cast<claim_command_kind>(dice.Pick(6));
    command.time =
        claim_time(time - std::min<std::uint64_t>(time, dice.Pick(200)));
    command.retention = std::chrono::milliseconds(dice.Pick(1000));
    command.key = {workspace_id("rink"),
                   idempotency_key(std::to_string(dice.Pick(6)))};
    command.owner = {vm_id(std::to_string(dice.Pick(2))),
                     incarnation(dice.Pick(2)), dice.Pick(2)};
    command.deadline_in = std::chrono::milliseconds(dice.Pick(500));
    command.limit = static_cast<std::uint32_t>(dice.Pick(3));
    if (command.kind == claim_command_kind::kFinish) {
      command.response = MakeStoredResponse(
          {200, {{"ETag", "x"}}, std::string(dice.Pick(12), 'b')});
    }
    return command;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_schedule_test);

}  // namespace marjoramsill
