#ifndef MARJORAMSILL_PROCESS_CONTROL_FETCH_REPLY_H_
#define MARJORAMSILL_PROCESS_CONTROL_FETCH_REPLY_H_

#include <cstdint>
#include <vector>

#include "types/ids.h"
#include "version/section_record.h"

namespace marjoramsill {

enum class fetch_status {
  kOk,
  /// The peer does not hold all of what was asked for.
  kIncomplete,
  /// The peer has spent its byte rate.
  kBusy
};

/// `policy/fetch`, response. All sections of the scope with versions after the
/// request's `after` and up to `through` are in `records`, as of `version`.
struct fetch_reply {
  std::uint64_t id = 0;
  fetch_status status = fetch_status::kOk;
  document_version version;
  section_version through;
  std::vector<section_ptr> records;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_FETCH_REPLY_H_
