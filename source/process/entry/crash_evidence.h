#ifndef MARJORAMSILL_PROCESS_ENTRY_CRASH_EVIDENCE_H_
#define MARJORAMSILL_PROCESS_ENTRY_CRASH_EVIDENCE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "process/directory/content_fault.h"
#include "process/directory/endpoint_record.h"
#include "process/directory/heartbeat_question.h"
#include "process/directory/shared_load.h"
#include "process/entry/crash_decision.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Decides whether endpoints that closed connections and refuse new ones have
/// crashed. Broken links look the same at one VM, so a refusal alone counts
/// only after a time in which nothing contradicts it; see
/// docs/design/crash-evidence.md. Not thread-safe.
class crash_evidence {
 public:
  /// The endpoint refused a connection after one broke under requests with
  /// these contents.
  void OnRefused(const endpoint_record& endpoint,
                 const std::vector<content_digest>& suspects, steady_time now);
  /// A connection to the address of this incarnation was established.
  void OnReached(endpoint_run_digest run);
  /// Another entry VM got a response from the endpoint at `measured_at`.
  void OnReport(endpoint_digest endpoint, steady_time measured_at);
  /// The endpoint's record has changed.
  void OnRecord(const endpoint_record& changed);
  /// A control process answered a question.
  void OnHeartbeats(endpoint_run_digest run, heartbeat_state state);

  /// Endpoints to connect to now. Answered by OnReached().
  std::vector<endpoint_record> TakeProbes(steady_time now);
  /// Questions to all control processes that can be reached.
  std::vector<heartbeat_question> TakeQuestions(steady_time now);
  /// `control_processes`: number of members of the control group.
  std::vector<crash_decision> TakeDecisions(std::size_t control_processes,
                                            steady_time now);
  bool empty() const { return open_.empty(); }

 private:
  struct open_case {
    crash_decision decision;
    endpoint_digest digest;
    /// Other endpoints of its pool refused at about the same time.
    bool is_together = false;
    bool was_reached = false;
    bool has_new_start = false;
    bool has_ended = false;
    bool is_silent = false;
    bool has_heartbeat = false;
    bool has_stopped = false;
    std::size_t answers = 0;
    steady_time next_probe;
    steady_time next_question;
  };

  /// Nothing while the evidence does not suffice.
  static std::optional<crash_finding> Decide(const open_case& each,
                                             std::size_t control_processes,
                                             steady_time now);
  void MarkTogether(open_case& added, steady_time now);

  std::map<endpoint_run_digest, open_case> open_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_CRASH_EVIDENCE_H_
