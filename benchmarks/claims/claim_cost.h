#ifndef MARJORAMSILL_BENCHMARKS_CLAIMS_CLAIM_COST_H_
#define MARJORAMSILL_BENCHMARKS_CLAIMS_CLAIM_COST_H_

namespace marjoramsill {

/// Prints the number of commands and bytes of one non-repeatable call without
/// faults. Returns false if it takes more than a claim and a finish command.
bool MeasureCommandsPerClaim();

/// Prints the heap size at several table sizes, the slopes between them in
/// bytes per claim, and the snapshot size. Returns false if the memory per
/// claim grows with the number of claims.
bool MeasureMemoryPerClaim();

}  // namespace marjoramsill

#endif  // MARJORAMSILL_BENCHMARKS_CLAIMS_CLAIM_COST_H_
