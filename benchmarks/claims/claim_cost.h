#ifndef MARJORAMSILL_BENCHMARKS_CLAIMS_CLAIM_COST_H_
#define MARJORAMSILL_BENCHMARKS_CLAIMS_CLAIM_COST_H_

namespace marjoramsill {

/// Prints commands and bytes of one faultless non-repeatable call. Returns
/// false if it takes more than a claim and a finish.
bool MeasureCommandsPerClaim();

/// Prints heap bytes per stored claim at several table sizes and the slopes
/// between them, and the snapshot's size. Returns false if the memory per claim
/// grows with the number of claims.
bool MeasureMemoryPerClaim();

}  // namespace marjoramsill

#endif  // MARJORAMSILL_BENCHMARKS_CLAIMS_CLAIM_COST_H_
