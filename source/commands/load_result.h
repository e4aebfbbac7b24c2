#ifndef MARJORAMSILL_COMMANDS_LOAD_RESULT_H_
#define MARJORAMSILL_COMMANDS_LOAD_RESULT_H_

#include <array>
#include <cstdint>

#include "commands/load_rank_result.h"
#include "types/rank.h"

namespace marjoramsill {

/// Result of one run of the load command.
struct load_result {
  std::array<load_rank_result, kRankCount> ranks;
  /// Responses with content that does not belong to the request.
  std::uint64_t crossed = 0;
  /// Responses that ended normally but with content missing.
  std::uint64_t truncated = 0;
  /// Non-repeatable calls that ran more than once.
  std::uint64_t doubled = 0;
  /// Non-repeatable calls that ran although every response said "not run".
  std::uint64_t ran_after_not_run = 0;
  std::uint64_t bookings = 0;
  std::uint64_t bookings_run = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  /// Run reports that could not be read; `doubled` may then be too low.
  std::uint64_t missing_run_reports = 0;

  /// True if no response and no call violated a guarantee of the fleet.
  bool clean() const {
    return crossed + truncated + doubled + ran_after_not_run == 0;
  }
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_COMMANDS_LOAD_RESULT_H_
