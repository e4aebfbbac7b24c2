#ifndef MARJORAMSILL_PROCESS_PLACEMENT_DURATION_EVIDENCE_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_DURATION_EVIDENCE_H_

#include <cstdint>
#include <optional>

#include "process/directory/duration_sample.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Measured durations of work at one endpoint relative to its pool, those of
/// other entry VMs included. Old ones lose weight within seconds.
class duration_evidence {
 public:
  /// This entry VM measured a duration with this logarithm relative to the
  /// pool.
  void Add(double log_ratio, steady_time now);
  /// Another entry VM measured the sample. Ignored if it is the latest known.
  void AddSample(const duration_sample& sample, steady_time now);
  /// The durations that this entry VM measured since the last call.
  std::optional<duration_sample> TakeSample(steady_time now);
  bool HasUnshared() const { return unshared_count_ > 0; }
  /// Time of the latest duration that this entry VM measured.
  steady_time measured_at() const { return measured_at_; }
  /// Estimated logarithm of the duration relative to the pool: the mean, drawn
  /// towards 0 where there is little evidence.
  double LogRatio(steady_time now) const;
  /// Weight of the evidence, in recent measurements.
  double Weight(steady_time now) const;

 private:
  void AddWeighted(double log_ratio, double weight, steady_time now);

  double mean_ = 0;
  double weight_ = 0;
  steady_time added_at_;
  steady_time measured_at_;
  double unshared_total_ = 0;
  std::uint32_t unshared_count_ = 0;
  std::uint16_t last_tag_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_DURATION_EVIDENCE_H_
