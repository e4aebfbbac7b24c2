#ifndef MARJORAMSILL_COMMANDS_LOAD_RANK_RESULT_H_
#define MARJORAMSILL_COMMANDS_LOAD_RANK_RESULT_H_

#include <cstdint>
#include <vector>

namespace marjoramsill {

/// Counts and latencies of the requests of one rank.
struct load_rank_result {
  std::uint64_t sent = 0;
  std::uint64_t complete = 0;
  /// Error responses that state "not run".
  std::uint64_t refused = 0;
  /// Other error responses, and streams that ended with an error event.
  std::uint64_t failed = 0;
  /// No complete HTTP response, for example because the entry VM was killed.
  std::uint64_t lost = 0;
  /// Milliseconds since the planned send time.
  std::vector<double> first_output_ms;
  std::vector<double> total_ms;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_COMMANDS_LOAD_RANK_RESULT_H_
