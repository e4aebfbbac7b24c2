#ifndef MARJORAMSILL_PROCESS_CONTROLLER_EVACUATION_OUTCOME_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_EVACUATION_OUTCOME_H_

#include <cstddef>

namespace marjoramsill {

/// Outcome of an order to evacuate a failure domain, or of its withdrawal.
enum class evacuation_outcome {
  /// The order is committed, or the state was already so.
  kAcknowledged,
  /// The request names no usable failure domain, or has another method.
  kInvalid,
  /// The set of evacuated domains is full.
  kFull,
  /// It is unknown whether the order was or will be committed.
  kUnknown,
};

inline constexpr std::size_t kEvacuationOutcomeCount = 4;

/// The value in log lines and metrics.
const char* EvacuationOutcomeText(evacuation_outcome outcome);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_EVACUATION_OUTCOME_H_
