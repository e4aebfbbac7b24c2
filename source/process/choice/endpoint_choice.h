#ifndef MARJORAMSILL_PROCESS_CHOICE_ENDPOINT_CHOICE_H_
#define MARJORAMSILL_PROCESS_CHOICE_ENDPOINT_CHOICE_H_

#include <cstdint>
#include <optional>

#include "process/choice/placement.h"

namespace marjoramsill {

struct endpoint_choice {
  endpoint_index index = 0;
  /// Entries of the load table that were read.
  std::uint32_t examined = 0;
  /// The endpoint comes first in the order of the key.
  bool is_home = false;
  /// An endpoint earlier in the order lacks nothing but fresh evidence; a
  /// probe gives the next request of the key its home back.
  std::optional<endpoint_index> probe;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CHOICE_ENDPOINT_CHOICE_H_
