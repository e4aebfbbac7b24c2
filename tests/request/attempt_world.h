#ifndef MARJORAMSILL_TESTS_REQUEST_ATTEMPT_WORLD_H_
#define MARJORAMSILL_TESTS_REQUEST_ATTEMPT_WORLD_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "request/attempt_plan.h"
#include "request/schedule_check.h"

namespace marjoramsill {

/// How often each kind of ending was seen, to show that runs are not vacuous.
struct attempt_world_counts {
  std::uint64_t complete = 0;
  std::uint64_t complete_after_extra = 0;
  std::uint64_t aborted = 0;
  std::uint64_t failed = 0;
  std::uint64_t resumes = 0;
  std::uint64_t replays = 0;
};

/// Several calls in a row over three fake endpoints that fail at any step. All
/// calls share one retry budget.
class attempt_world {
 public:
  attempt_world(const schedule& steps, attempt_world_counts& counts);

  /// Plays the schedule and checks the invariants of every call.
  void Run();

 private:
  struct attempt {
    start_attempt start;
    bool open = true;
    bool sent = false;
    bool headed = false;
    std::string bytes;
    std::size_t position = 0;
  };

  void RunCall(bool streamed);
  void Step();
  void Progress(attempt target);
  void Fail(attempt target);
  void SendLate();
  void SendHead(const attempt& target, std::uint16_t status, bool crossed,
                bool confirm_offset);
  void SendBytes(const attempt& target, const std::string& bytes);
  void AdvanceToTimer();
  std::string BytesOf(const start_attempt& start);
  attempt* Open();
  void Close(const attempt_id& id);
  void Execute(const call_actions& actions);
  void Begin(const start_attempt& start);
  void CheckStream() const;

  schedule_reader dice_;
  attempt_world_counts& counts_;
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
  /// Events of each engine stream by the attempt that began it.
  std::map<attempt_id, std::vector<std::string>> streams_;
  std::string delivered_;
  bool sent_ = false;
  bool faultless_ = true;
  bool gone_ = false;
  int endings_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_REQUEST_ATTEMPT_WORLD_H_
