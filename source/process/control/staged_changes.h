#ifndef MARJORAMSILL_PROCESS_CONTROL_STAGED_CHANGES_H_
#define MARJORAMSILL_PROCESS_CONTROL_STAGED_CHANGES_H_

#include <vector>

#include "process/control/fetch_request.h"
#include "types/ids.h"
#include "types/steady_time.h"
#include "version/section_record.h"

namespace marjoramsill {

/// Records of fetch responses, collected until they complete a peer's version.
struct staged_changes {
  fetch_scope scope = fetch_scope::kChanges;
  section_version after;
  document_version newest;
  std::vector<section_ptr> records;
  /// Time of the last response from a peer that can complete the version.
  steady_time progressed{};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_STAGED_CHANGES_H_
