#ifndef MARJORAMSILL_PROCESS_CLAIMS_CLAIM_KEY_H_
#define MARJORAMSILL_PROCESS_CLAIMS_CLAIM_KEY_H_

#include <cstddef>
#include <functional>
#include <tuple>

#include "types/ids.h"

namespace marjoramsill {

/// Identifies a claim. Idempotency keys are unique within a workspace.
struct claim_key {
  workspace_id workspace;
  idempotency_key key;

  friend bool operator==(const claim_key&, const claim_key&) = default;
  friend bool operator<(const claim_key& left, const claim_key& right) {
    return std::tie(left.workspace, left.key) <
           std::tie(right.workspace, right.key);
  }
};

}  // namespace marjoramsill

template <>
struct std::hash<marjoramsill::claim_key> {
  std::size_t operator()(const marjoramsill::claim_key& key) const noexcept;
};

#endif  // MARJORAMSILL_PROCESS_CLAIMS_CLAIM_KEY_H_
