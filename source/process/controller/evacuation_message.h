#ifndef MARJORAMSILL_PROCESS_CONTROLLER_EVACUATION_MESSAGE_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_EVACUATION_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "process/controller/evacuation_order.h"
#include "process/controller/evacuation_outcome.h"
#include "process/directory/evacuation_set.h"

namespace marjoramsill {

/// An order that a control process forwards to the leader.
struct forwarded_evacuation {
  evacuation_order order;
  /// Change number of the set that the sender knew when its caller's request
  /// was open.
  std::uint64_t known_change = 0;
};

/// The leader's response.
struct evacuation_response {
  enum class kind : std::uint8_t {
    kUnknown,
    kAcknowledged,
    kFull,
    /// The set has changed after `known_change`. The order may be one that was
    /// delayed on the way until it had been withdrawn. The sender repeats it
    /// with `change` if its caller still waits.
    kBehind,
  };
  kind outcome = kind::kUnknown;
  /// Change number of the leader's set.
  std::uint64_t change = 0;
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
