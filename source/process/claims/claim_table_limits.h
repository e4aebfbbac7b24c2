#ifndef MARJORAMSILL_PROCESS_CLAIMS_CLAIM_TABLE_LIMITS_H_
#define MARJORAMSILL_PROCESS_CLAIMS_CLAIM_TABLE_LIMITS_H_

#include <cstddef>
#include <cstdint>

namespace marjoramsill {

/// Limits of a claim table. They must be equal on all members of a group, so a
/// change requires a new format version.
struct claim_table_limits {
  std::size_t max_records = 1'000'000;
  /// Total size of the stored bodies. Bodies beyond it are stored only as
  /// hashes.
  std::uint64_t max_body_bytes = 256ULL * 1024 * 1024;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CLAIMS_CLAIM_TABLE_LIMITS_H_
