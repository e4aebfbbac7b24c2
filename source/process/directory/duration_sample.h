#ifndef MARJORAMSILL_PROCESS_DIRECTORY_DURATION_SAMPLE_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_DURATION_SAMPLE_H_

#include <cstdint>

namespace marjoramsill {

/// What one entry VM measured at an endpoint since its last sample: the mean
/// logarithm of the duration of work relative to the pool.
struct duration_sample {
  /// In units of 1 / kScale.
  std::int8_t log_ratio = 0;
  /// Number of measurements, at least 1.
  std::uint8_t count = 0;
  /// Differs from that of the sender's last sample, so that a sample that
  /// arrives repeatedly counts once.
  std::uint16_t tag = 0;

  static constexpr double kScale = 64;

  friend bool operator==(const duration_sample&,
                         const duration_sample&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_DURATION_SAMPLE_H_
