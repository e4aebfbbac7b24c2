#ifndef MARJORAMSILL_PROCESS_DIRECTORY_WATCH_REQUEST_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_WATCH_REQUEST_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "process/directory/content_fault.h"
#include "process/directory/pool_progress.h"
#include "process/directory/record_transfer.h"
#include "process/directory/relay_offer.h"
#include "process/directory/shared_load.h"
#include "process/directory/stream_origin.h"
#include "types/ids.h"

namespace marjoramsill {

/// Requests changes from a control member. The member responds as soon as it
/// has a change that the watcher has not applied, or without one after a hold
/// time.
struct watch_request {
  vm_id watcher;
  /// True for an entry VM, false for a control member.
  bool is_entry = false;
  /// Run of the member's process to which `applied_change` refers; 0 before the
  /// first response.
  std::uint64_t epoch = 0;
  /// Last change of the member's directory that the watcher has applied.
  std::uint64_t applied_change = 0;
  /// Last change up to which the watcher has applied the endpoints that leave
  /// or have ended; at least `applied_change`.
  std::uint64_t applied_ending = 0;
  /// Endpoints that the watcher knows and that have not ended.
  std::uint32_t known_endpoints = 0;
  /// Newest document version that the watcher has.
  document_version document;
  /// The response should include load reports. Its hold time is shorter then.
  bool requests_loads = false;
  /// Reports that the watcher received from endpoints since its last request.
  std::vector<shared_load> loads;
  /// Streams that began at the watcher since its last request.
  std::vector<stream_origin> origins;
  /// Last change of the member's part faults that the watcher has.
  std::uint64_t applied_fault = 0;
  /// What the watcher has learned against prompt parts since its last request.
  std::vector<content_fault> faults;
  /// Whether the watcher takes requests of other entry VMs.
  relay_state relay;
  /// What the watcher has in progress, if it is an entry VM that reports to
  /// this member.
  std::optional<std::vector<pool_progress>> progress;
  record_transfer transfer = record_transfer::kAll;
  /// Digests of the endpoints that the watcher knows, for a transfer of the
  /// differences.
  std::vector<std::uint64_t> known_digests;
  /// Change number of the evacuation set that the watcher applies; nothing if
  /// it applies none, as control members and builds without this field.
  std::optional<std::uint64_t> applied_evacuations;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_WATCH_REQUEST_H_
