#ifndef MARJORAMSILL_COMMANDS_LOAD_RESULT_H_
#define MARJORAMSILL_COMMANDS_LOAD_RESULT_H_

#include <array>
#include <cstdint>

#include "commands/load_rank_result.h"
#include "types/rank.h"

namespace marjoramsill {

struct load_result {
  std::array<load_rank_result, kRankCount> ranks;
  /// Answers that said they were whole and were not, or not the own one.
  std::uint64_t crossed = 0;
  std::uint64_t truncated = 0;
  /// Non-repeatable calls that ran more than once, or ran after "not run".
  std::uint64_t doubled = 0;
  std::uint64_t ran_after_not_run = 0;
  std::uint64_t bookings = 0;
  std::uint64_t bookings_run = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  /// Run reports that could not be had; doubled runs are then not excluded.
  std::uint64_t missing_run_reports = 0;

  bool clean() const {
    return crossed + truncated + doubled + ran_after_not_run == 0;
  }
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_COMMANDS_LOAD_RESULT_H_
