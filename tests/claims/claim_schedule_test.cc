#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>

#include "claims/claim_test_harness.h"
#include "process/claims/claim_time.h"

namespace marjoramsill {

class claim_schedule_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(claim_schedule_test);
  CPPUNIT_TEST(any_schedule_runs_a_key_at_most_once);
  CPPUNIT_TEST(any_commands_keep_a_restored_member_equal);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against any order of crashes and of lost, delayed, duplicated and
  // repeated messages that runs a key twice, runs a request after it was
  // reported as "not run", changes a stored response, leaves a caller without a
  // response or lets two members diverge.
  void any_schedule_runs_a_key_at_most_once() {
    claim_test_counts counts;
    CheckProperty("claim schedules", 10000, [&counts] {
      claim_test_harness(*ScheduleOf(160), counts).Run();
    });
    std::cerr << " runs=" << counts.runs
              << " first_responses=" << counts.first_responses
              << " stored_responses=" << counts.stored_responses
              << " not_run=" << counts.not_run << " unknown=" << counts.unknown
              << " late_grants=" << counts.late_grants;
    // Every kind of outcome must be common, or the schedules do not cover it.
    CPPUNIT_ASSERT(counts.runs > 1000);
    CPPUNIT_ASSERT(counts.first_responses > 500);
    CPPUNIT_ASSERT(counts.stored_responses > 100);
    CPPUNIT_ASSERT(counts.not_run > 1000);
    CPPUNIT_ASSERT(counts.unknown > 1000);
    CPPUNIT_ASSERT(counts.late_grants > 100);
  }

  // Guards against members that diverge after one was restored from a snapshot.
  // The records expire by time, by command or not at all.
  void any_commands_keep_a_restored_member_equal() {
    CheckProperty("claim commands", 2000, [] {
      schedule_reader reader(*ScheduleOf(400));
      const claim_table_limits limits{.max_records = 4, .max_body_bytes = 20};
      claim_table member(limits);
      claim_table restored(limits);
      for (std::uint64_t time = 0; !reader.ended();) {
        time += reader.Pick(300);
        const std::string bytes = EncodeClaimCommand(Command(reader, time));
        RC_ASSERT(member.Apply(bytes).value() == restored.Apply(bytes).value());
        RC_ASSERT(member.size() <= limits.max_records);
        RC_ASSERT(member.body_bytes() <= limits.max_body_bytes);
        if (reader.Pick(4) != 0) continue;
        const std::string snapshot = member.Snapshot();
        RC_ASSERT(restored.Snapshot() == snapshot);
        restored = claim_table(limits);
        RC_ASSERT(restored.Restore(snapshot).has_value());
      }
    });
  }

 private:
  static claim_command Command(schedule_reader& reader, std::uint64_t time) {
    claim_command command;
    command.kind = static_cast<claim_command_kind>(reader.Pick(6));
    command.time =
        claim_time(time - std::min<std::uint64_t>(time, reader.Pick(200)));
    command.retention = std::chrono::milliseconds(reader.Pick(1000));
    command.key = {workspace_id("rink"),
                   idempotency_key(std::to_string(reader.Pick(6)))};
    command.owner = {vm_id(std::to_string(reader.Pick(2))),
                     incarnation_number(reader.Pick(2)), reader.Pick(2)};
    command.deadline_in = std::chrono::milliseconds(reader.Pick(500));
    command.limit = static_cast<std::uint32_t>(reader.Pick(3));
    if (command.kind == claim_command_kind::kFinish) {
      command.response = MakeStoredResponse(
          {200, {{"ETag", "x"}}, std::string(reader.Pick(12), 'b')});
    }
    return command;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_schedule_test);

}  // namespace marjoramsill
