#ifndef MARJORAMSILL_BENCHMARKS_CLAIMS_EXTRA_ATTEMPTS_H_
#define MARJORAMSILL_BENCHMARKS_CLAIMS_EXTRA_ATTEMPTS_H_

namespace marjoramsill {

/// Prints extra attempts per first attempt with half of the endpoints failing.
/// Returns false if they exceed a tenth (docs/design.md 1.7) plus
/// retry_budget::kRetryReserve.
bool MeasureExtraAttempts();

}  // namespace marjoramsill

#endif  // MARJORAMSILL_BENCHMARKS_CLAIMS_EXTRA_ATTEMPTS_H_
