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

/// What the fleet needs to know of a request, from its text and the policy in
/// force.
struct classified_request {
  workspace_id workspace;
  /// Copied, so that a later policy version does not change a request.
  workspace_policy limits;
  marjoramsill::rank rank = rank::kStandard;
  /// Model, or service for a plain-service call.
  model_id pool;
  bool is_service = false;
  chat_id chat;
  std::chrono::milliseconds deadline{0};
  /// Targets of the rank.
  std::chrono::microseconds first_token_target{0};
  std::chrono::microseconds between_tokens_target{0};
  idempotency_key key;
  bool repeatable = true;
  /// How long the claim of a non-repeatable call is retained.
  std::chrono::seconds claim_retention{0};
  bool streamed = false;
  /// Estimates from the body's size and max_tokens.
  token_count prompt_tokens;
  cost_units cost;
  /// What endpoint choice hashes: the chat, or the first message without one.
  std::string placement_text;
  /// Method and target towards the endpoint.
  std::string method;
  std::string target;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_CLASSIFIED_REQUEST_H_
