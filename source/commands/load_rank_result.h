#ifndef MARJORAMSILL_COMMANDS_LOAD_RANK_RESULT_H_
#define MARJORAMSILL_COMMANDS_LOAD_RANK_RESULT_H_

#include <cstdint>
#include <vector>

namespace marjoramsill {

/// Answers of one rank.
struct load_rank_result {
  std::uint64_t sent = 0;
  std::uint64_t whole = 0;
  /// Problem answers with "not run".
  std::uint64_t refused = 0;
  /// Other problem answers and streams that ended with an error event.
  std::uint64_t failed = 0;
  /// No HTTP answer at all, for example because the entry VM was killed.
  std::uint64_t lost = 0;
  /// Milliseconds from the planned time of sending.
  std::vector<double> first_output_ms;
  std::vector<double> total_ms;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_COMMANDS_LOAD_RANK_RESULT_H_
