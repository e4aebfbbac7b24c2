#ifndef MARJORAMSILL_PROCESS_CLAIMS_STORED_RESPONSE_H_
#define MARJORAMSILL_PROCESS_CLAIMS_STORED_RESPONSE_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "process/claims/content_hash.h"

namespace marjoramsill {

using http_fields = std::vector<std::pair<std::string, std::string>>;

/// Response as kept for repeats. `body` is empty and `body_kept` false when the
/// body is over kMaxStoredBodyBytes or the group's body budget is used up.
struct stored_response {
  std::uint16_t status = 0;
  http_fields headers;
  std::string body;
  bool body_kept = true;
  std::uint64_t body_size = 0;
  content_hash body_hash;

  friend bool operator==(const stored_response&,
                         const stored_response&) = default;
};

/// Drops the body but keeps its size and hash.
void DropBody(stored_response& response);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CLAIMS_STORED_RESPONSE_H_
