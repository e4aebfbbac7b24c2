#ifndef MARJORAMSILL_PROCESS_DIRECTORY_CONTENT_FAULT_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_CONTENT_FAULT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "types/strong_number.h"

namespace marjoramsill {

struct endpoint_record;

/// 64-bit hash of what a request carries: of a model and the id of a prompt
/// part, as in prompt_part, or of the whole request.
using content_digest = strong_number<struct content_digest_tag>;
/// 32-bit hash of an endpoint's id and incarnation.
using endpoint_run_digest = strong_number<struct endpoint_run_digest_tag>;

endpoint_run_digest DigestOfRun(const endpoint_record& endpoint);

/// What the fleet knows against one prompt part or request: endpoints that
/// ended while they had a request with it, and that no answer on it has been
/// completed since. Records of several VMs merge in any order: the one with
/// more clearances wins, and the ends of equal ones add up.
struct content_fault {
  content_digest content;
  /// How often an endpoint has answered a request with it after it was
  /// suspected, which voids the ends before.
  std::uint32_t clearances = 0;
  /// Endpoints that ended since, each once, in increasing order.
  std::vector<endpoint_run_digest> ends;

  friend bool operator==(const content_fault&, const content_fault&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_CONTENT_FAULT_H_
