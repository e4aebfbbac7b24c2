#ifndef MARJORAMSILL_PROCESS_BURN_COUNTERS_CODEC_H_
#define MARJORAMSILL_PROCESS_BURN_COUNTERS_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "process/burn/service_counters.h"
#include "types/result.h"

namespace marjoramsill {

inline constexpr std::size_t kMaxCountersBytes = 262144;
inline constexpr std::size_t kMaxCounterKeys = 256;

enum class counters_decode_error_kind { kTooLarge, kMalformed, kOutOfRange };

/// Describes why an encoded snapshot was refused.
struct counters_decode_error {
  counters_decode_error_kind kind = counters_decode_error_kind::kMalformed;
  /// Index of the invalid key; 0 if the snapshot itself is invalid.
  std::size_t key = 0;
  std::string field;
};

/// Encodes the body of the peer message `counters`: a msgpack array of keys
/// with values.
std::string EncodeCounters(const counter_snapshot& snapshot);
result<counter_snapshot, counters_decode_error> DecodeCounters(
    std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_BURN_COUNTERS_CODEC_H_
