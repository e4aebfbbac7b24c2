#ifndef MARJORAMSILL_PROCESS_CONTROL_FETCH_RESPONSE_H_
#define MARJORAMSILL_PROCESS_CONTROL_FETCH_RESPONSE_H_

#include <cstdint>
#include <vector>

#include "types/ids.h"
#include "version/section_record.h"

namespace marjoramsill {

enum class fetch_status {
  kOk,
  /// The peer does not hold everything that was requested.
  kIncomplete,
  /// The peer has used up its byte rate.
  kBusy
};

/// Response to `policy/fetch`. `records` holds all sections of the scope with
/// versions in (request.after, through], as they are in document `version`.
struct fetch_response {
  std::uint64_t id = 0;
  fetch_status status = fetch_status::kOk;
  document_version version;
  section_version through;
  std::vector<section_ptr> records;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_FETCH_RESPONSE_H_
