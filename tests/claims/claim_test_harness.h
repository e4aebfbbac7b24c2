#ifndef MARJORAMSILL_TESTS_CLAIMS_CLAIM_TEST_HARNESS_H_
#define MARJORAMSILL_TESTS_CLAIMS_CLAIM_TEST_HARNESS_H_

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "process/claims/claim_key.h"
#include "process/claims/claim_table.h"
#include "process/claims/content_hash.h"
#include "request/claim_flow.h"
#include "request/schedule_check.h"

namespace marjoramsill {

/// Counts of each kind of outcome, which show that the schedules reach all of
/// them.
struct claim_test_counts {
  std::uint64_t runs = 0;
  std::uint64_t first_responses = 0;
  std::uint64_t stored_responses = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t late_grants = 0;
};

/// Simulates three entry VMs, one claim group with two members, a network that
/// loses, delays, duplicates and reorders messages, and an endpoint that counts
/// runs.
class claim_test_harness {
 public:
  claim_test_harness(const schedule& steps, claim_test_counts& counts);

  /// Executes the schedule, delivers all messages and timers that are left, and
  /// checks the invariants.
  void Run();

 private:
  struct call {
    std::size_t vm = 0;
    claim_key key;
    content_hash hash;
    steady_time deadline;
    std::unique_ptr<claim_flow> flow;
    std::optional<steady_time> timer;
    bool caller_present = true;
    bool sent = false;
    bool reported_not_run = false;
    int response_count = 0;
  };
  struct message {
    std::size_t call = 0;
    bool to_table = false;
    std::string bytes;
  };
  struct attempt {
    std::size_t call = 0;
    attempt_id id;
    bool open = true;
    bool sent = false;
  };

  void Step();
  void Submit();
  void Deliver(std::size_t index);
  void Apply(const message& request);
  void Advance(std::chrono::milliseconds step);
  void Crash(std::size_t vm);
  void InjectFault();
  void AdvanceEndpoint();
  void Connect(attempt& target);
  void Respond(attempt& target);
  void SendResponse(const attempt& target, std::size_t fault);
  void Execute(std::size_t index, const call_actions& actions);
  void CheckResponse(call& target, const complete_response& response);
  void CheckFailure(call& target, const final_failure& failure);
  void CheckEnd();
  complete_response ResponseOf(const attempt& target) const;

  schedule_reader reader_;
  claim_test_counts& counts_;
  steady_time now_;
  std::chrono::milliseconds leader_lag_{0};
  claim_table table_;
  claim_table replica_;
  std::array<std::uint64_t, 3> incarnations_ = {1, 1, 1};
  std::array<std::uint64_t, 3> serials_ = {0, 0, 0};
  retry_budget budget_;
  std::uint64_t attempt_ids_ = 0;
  std::vector<call> calls_;
  std::vector<message> network_;
  std::vector<attempt> attempts_;
  std::map<claim_key, int> runs_;
  std::map<claim_key, complete_response> responses_;
  std::map<claim_key, content_hash> run_hashes_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_CLAIMS_CLAIM_TEST_HARNESS_H_
