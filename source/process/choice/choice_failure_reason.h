#ifndef MARJORAMSILL_PROCESS_CHOICE_NO_CHOICE_H_
#define MARJORAMSILL_PROCESS_CHOICE_NO_CHOICE_H_

#include <cstdint>

namespace marjoramsill {

enum class no_choice : std::uint8_t {
  /// No endpoint, or only excluded, draining and refused ones.
  kNoEndpoint,
  /// All usable endpoints are at the bound.
  kAllOverBound,
  /// Endpoints are known, but none has fresh evidence.
  kNoFreshEvidence
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CHOICE_NO_CHOICE_H_
