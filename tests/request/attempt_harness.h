#ifndef MARJORAMSILL_TESTS_REQUEST_ATTEMPT_HARNESS_H_
#define MARJORAMSILL_TESTS_REQUEST_ATTEMPT_HARNESS_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "request/attempt_plan.h"
#include "request/schedule_check.h"

namespace marjoramsill {

/// How often each kind of outcome occurred, to show that the runs cover them
/// all.
struct attempt_harness_counts {
  std::uint64_t complete = 0;
  std::uint64_t complete_after_extra = 0;
  std::uint64_t aborted = 0;
  std::uint64_t failed = 0;
  std::uint64_t resumes = 0;
  std::uint64_t replays = 0;
};

/// Test harness that runs several calls one after the other against three fake
/// endpoints, which can fail at any step. All calls share one retry budget.
class attempt_harness {
 public:
  attempt_harness(const schedule& steps, attempt_harness_counts& counts);

  /// Runs the schedule and checks the invariants of every call.
  void Run();

 private:
  struct attempt {
    start_attempt start;
    bool open = true;
    bool sent = false;
    bool head_sent = false;
    std::string bytes;
    std::size_t position = 0;
  };

  void RunCall(bool streamed);
  void Step();
  void Progress(attempt target);
  void Fail(attempt target);
  /// Delivers events of an attempt whose connection has been closed.
  void SendLate();
  void SendHead(const attempt& target, std::uint16_t status, bool mismatched,
                bool confirm_offset);
  void SendBytes(const attempt& target, const std::string& bytes);
  void AdvanceToTimer();
  std::string BytesOf(const start_attempt& start);
  attempt* Open();
  void Close(const attempt_id& id);
  void Execute(const call_actions& actions);
  void Begin(const start_attempt& start);
  void CheckStream() const;

  schedule_reader decisions_;
  attempt_harness_counts& counts_;
  steady_time now_;
  steady_time deadline_;
  std::optional<steady_time> timer_;
  retry_budget budget_;
  std::uint64_t ids_ = 0;
  std::uint64_t extra_ = 0;
  std::uint64_t calls_ = 0;

  // State of the current call.
  std::unique_ptr<attempt_plan> plan_;
  bool streamed_ = false;
  std::vector<attempt> attempts_;
  /// Events of each engine stream, by the attempt that started it.
  std::map<attempt_id, std::vector<std::string>> streams_;
  std::string delivered_;
  bool sent_ = false;
  /// No fault or timeout has occurred in the current call.
  bool fault_free_ = true;
  bool caller_disconnected_ = false;
  /// Times that the call delivered a final response or failure.
  int endings_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_REQUEST_ATTEMPT_HARNESS_H_
