#ifndef MARJORAMSILL_PROCESS_CONTROL_FETCH_PROGRESS_H_
#define MARJORAMSILL_PROCESS_CONTROL_FETCH_PROGRESS_H_

#include <vector>

#include "process/control/distribution_messages.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// One request under way.
struct open_fetch {
  vm_id peer;
  steady_time deadline{};
  fetch_request request;
};

/// Replies collected until they lead exactly to a peer's version.
struct staged_changes {
  fetch_scope scope = fetch_scope::kChanges;
  section_version after;
  document_version newest;
  std::vector<section_ptr> records;
  /// When a peer that can complete the version last answered.
  steady_time progressed{};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_FETCH_PROGRESS_H_
