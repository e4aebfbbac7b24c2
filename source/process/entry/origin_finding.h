#ifndef MARJORAMSILL_PROCESS_ENTRY_ORIGIN_FINDING_H_
#define MARJORAMSILL_PROCESS_ENTRY_ORIGIN_FINDING_H_

#include <optional>

#include "process/directory/stream_origin.h"

namespace marjoramsill {

/// What is known of the software that began a stream.
struct origin_finding {
  /// Nothing if it is not known.
  std::optional<software_digest> software;
  /// For the log: "here", "one_version" (the pool had no other), "control" or
  /// "nowhere".
  const char* source = "nowhere";
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_ORIGIN_FINDING_H_
