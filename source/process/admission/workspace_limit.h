#ifndef MARJORAMSILL_PROCESS_ADMISSION_WORKSPACE_LIMIT_H_
#define MARJORAMSILL_PROCESS_ADMISSION_WORKSPACE_LIMIT_H_

#include <cstdint>

#include "types/ids.h"

namespace marjoramsill {

/// Fleet-wide limit of one workspace, from its policy section.
struct workspace_limit {
  section_version version;
  /// Cost per second.
  double tokens_per_second = 0;
  /// Maximum number of requests that run at the same time.
  std::uint32_t concurrent = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_WORKSPACE_LIMIT_H_
