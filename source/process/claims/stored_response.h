#ifndef MARJORAMSILL_PROCESS_CLAIMS_STORED_RESPONSE_H_
#define MARJORAMSILL_PROCESS_CLAIMS_STORED_RESPONSE_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "process/claims/content_hash.h"

namespace marjoramsill {

using http_fields = std::vector<std::pair<std::string, std::string>>;

/// Response that is stored for repeated requests. If the body exceeds
/// kMaxStoredBodyBytes or the remaining body bytes of the group, `body` is
/// empty and `body_kept` is false.
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

/// Removes the body, but keeps its size and hash.
void DropBody(stored_response& response);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CLAIMS_STORED_RESPONSE_H_
