#ifndef MARJORAMSILL_PROCESS_DIRECTORY_WATCH_REPLY_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_WATCH_REPLY_H_

#include <cstdint>
#include <vector>

#include "process/directory/endpoint_record.h"
#include "process/directory/shared_load.h"
#include "types/ids.h"

namespace marjoramsill {

/// News of a control member.
struct watch_reply {
  std::uint64_t epoch = 0;
  /// Last change that `records` covers.
  std::uint64_t last_change = 0;
  std::vector<endpoint_record> records;
  /// Newest committed document of the member.
  document_version document;
  /// Members of the control group, as IP:PORT of their peer address.
  std::vector<vm_id> members;
  /// Entry VMs that watch this member.
  std::uint32_t entry_count = 0;
  /// Load reports that other watchers passed on, if they were asked for.
  std::vector<shared_load> loads;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_WATCH_REPLY_H_
