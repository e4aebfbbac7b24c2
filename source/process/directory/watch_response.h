#ifndef MARJORAMSILL_PROCESS_DIRECTORY_WATCH_RESPONSE_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_WATCH_RESPONSE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "process/directory/content_fault.h"
#include "process/directory/endpoint_record.h"
#include "process/directory/evacuation_set.h"
#include "process/directory/fleet_position.h"
#include "process/directory/fleet_progress.h"
#include "process/directory/shared_load.h"
#include "process/directory/software_presence.h"
#include "types/ids.h"

namespace marjoramsill {

/// Response of a control member to a watch_request: the changes after those
/// that the watcher has applied.
struct watch_response {
  /// Identifies this run of the member's process; not 0.
  std::uint64_t epoch = 0;
  /// Number of the last change up to which the watcher has all records, with
  /// those in this response.
  std::uint64_t last_change = 0;
  /// Number of the last change up to which it has the records of all endpoints
  /// that leave or have ended.
  std::uint64_t last_ending = 0;
  std::vector<endpoint_record> records;
  /// Software of endpoints whose records were replaced or removed, in each
  /// response with records.
  std::vector<software_presence> former_software;
  /// Newest committed document of the member.
  document_version document;
  /// Time for which the member has known endpoints, if the watcher has all of
  /// its records with this response; they include those that ended recently.
  std::chrono::milliseconds history{0};
  /// Set if the member led the group when it responded: no newer document had
  /// been acknowledged by then. Time from the arrival of the request to that
  /// moment.
  std::optional<std::chrono::milliseconds> confirmed_after;
  /// Members of the control group, as IP:PORT of their peer address.
  std::vector<vm_id> members;
  /// Number of entry VMs that watch this member, and the place of the watcher
  /// among them.
  fleet_position position;
  /// Load reports from other watchers, if the request includes them.
  std::vector<shared_load> loads;
  /// What the fleet knows against prompt parts, after the last change that the
  /// watcher has, and the number of the last change in it.
  std::vector<content_fault> faults;
  std::uint64_t last_fault = 0;
  /// Response to an entry VM: what all others have in progress, or nothing
  /// unless each of them has reported it. Response to a control member: what
  /// those have that report to this one.
  fleet_progress progress;
  /// The evacuation set that the member has committed; nothing from builds
  /// without this field. `confirmed_after` applies to it as well.
  std::optional<evacuation_set> evacuations;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_WATCH_RESPONSE_H_
