#ifndef MARJORAMSILL_REQUEST_CLASSIFIED_REQUEST_H_
#define MARJORAMSILL_REQUEST_CLASSIFIED_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "types/ids.h"
#include "types/rank.h"
#include "types/units.h"
#include "version/workspace_policy.h"

namespace marjoramsill {

/// Routing attributes of a request, from its fields, its body and the policy in
/// force.
struct classified_request {
  workspace_id workspace;
  /// A copy, so that a later policy version does not affect this request.
  workspace_policy limits;
  marjoramsill::rank rank = rank::kStandard;
  /// The model, or the service if `is_service`.
  model_id pool;
  bool is_service = false;
  chat_id chat;
  /// Time allowed from the arrival of the request.
  std::chrono::milliseconds deadline{0};
  /// Latency targets of the rank.
  std::chrono::microseconds first_token_target{0};
  std::chrono::microseconds between_tokens_target{0};
  idempotency_key key;
  bool repeatable = true;
  /// How long the claim of a non-repeatable call is kept.
  std::chrono::seconds claim_retention{0};
  bool streamed = false;
  /// Estimated from the size of the body and max_tokens.
  token_count prompt_tokens;
  cost_units cost;
  /// Hashed to choose an endpoint: the workspace and the chat id. For a chat
  /// request without a chat id, the workspace and the first message.
  std::string placement_text;
  /// Method and request target that are sent to the endpoint.
  std::string method;
  std::string target;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_CLASSIFIED_REQUEST_H_
