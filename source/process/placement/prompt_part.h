#ifndef MARJORAMSILL_PROCESS_PLACEMENT_PROMPT_PART_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_PROMPT_PART_H_

#include <cstdint>

#include "types/units.h"

namespace marjoramsill {

/// One part of a prompt that other prompts may also contain.
struct prompt_part {
  /// Hash of the model and of the part's id.
  std::uint64_t hash = 0;
  token_count tokens;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_PROMPT_PART_H_
