#ifndef MARJORAMSILL_PROCESS_CONTROLLER_EVACUATION_MESSAGE_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_EVACUATION_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "process/controller/evacuation_order.h"
#include "process/controller/evacuation_outcome.h"
#include "process/controller/evacuation_response.h"
#include "process/directory/evacuation_set.h"

namespace marjoramsill {

/// An order that a control process forwards to the leader.
struct forwarded_evacuation {
  evacuation_order order;
  /// Change number of the set that the sender knew when its caller's request
  /// was open.
  std::uint64_t known_change = 0;
};

std::string EncodeForwardedEvacuation(const forwarded_evacuation& forwarded);
/// Nothing if the bytes are damaged or name no usable domain.
std::optional<forwarded_evacuation> DecodeForwardedEvacuation(
    std::string_view bytes);

std::string EncodeEvacuationResponse(const evacuation_response& response);
/// Damaged bytes, an outcome of a later build and an empty response, as from
/// earlier builds, mean that the outcome is unknown.
evacuation_response DecodeEvacuationResponse(std::string_view bytes);

/// What the leader does with an order.
enum class evacuation_step {
  /// The state is already so.
  kAcknowledge,
  kPropose,
  /// See evacuation_response::kind::kBehind.
  kReturn,
};

/// `held`: the leader's set. `has_open_order`: an order that was proposed here
/// is not committed yet, so that `held` does not show what it will be.
evacuation_step NextEvacuationStep(const evacuation_set& held,
                                   const forwarded_evacuation& forwarded,
                                   bool has_open_order);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_EVACUATION_MESSAGE_H_
