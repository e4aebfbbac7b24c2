#ifndef MARJORAMSILL_PROCESS_CLAIMS_CLAIM_BOUNDS_H_
#define MARJORAMSILL_PROCESS_CLAIMS_CLAIM_BOUNDS_H_

#include <chrono>
#include <cstddef>

namespace marjoramsill {

/// Limits of the fields of a claim. The decoders refuse larger values.
inline constexpr std::size_t kMaxClaimNameBytes = 255;
inline constexpr std::size_t kMaxStoredBodyBytes = std::size_t{64} * 1024;
inline constexpr std::size_t kMaxStoredHeaders = 16;
inline constexpr std::size_t kMaxStoredHeaderBytes = 1024;
inline constexpr std::chrono::milliseconds kMaxClaimDeadline =
    std::chrono::hours(1);
inline constexpr std::chrono::milliseconds kDefaultClaimRetention =
    std::chrono::hours(24);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CLAIMS_CLAIM_BOUNDS_H_
