#ifndef MARJORAMSILL_PROCESS_DIRECTORY_WATCH_REQUEST_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_WATCH_REQUEST_H_

#include <cstdint>
#include <vector>

#include "process/directory/shared_load.h"
#include "types/ids.h"

namespace marjoramsill {

/// Asks a control member for news. The member answers when it has some, or
/// after `watch_hold` without any.
struct watch_request {
  vm_id watcher;
  /// The watcher serves callers; otherwise it is a control member.
  bool is_entry = false;
  /// Run of the member's process that `seen_change` refers to; 0: none.
  std::uint64_t epoch = 0;
  /// Last change of the member's directory that the watcher has applied.
  std::uint64_t seen_change = 0;
  document_version document;
  /// The answer is to have load reports. It then comes earlier.
  bool wants_loads = false;
  /// Reports that the watcher received from endpoints since its last request.
  std::vector<shared_load> loads;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_WATCH_REQUEST_H_
