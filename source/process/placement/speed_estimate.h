#ifndef MARJORAMSILL_PROCESS_PLACEMENT_SPEED_ESTIMATE_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_SPEED_ESTIMATE_H_

#include <cstdint>
#include <optional>

#include "process/placement/duration_evidence.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// How long work takes at one endpoint compared with the usual duration of its
/// pool, estimated from the durations that the endpoint states and from
/// measured ones. Logarithms are natural; 0 stands for the usual duration.
class speed_estimate {
 public:
  /// The endpoint stated at `measured_at` that work takes this percentage of
  /// its usual duration. Ignored if a newer figure is known.
  void RecordStated(std::uint32_t duration_percent, steady_time measured_at);
  /// The endpoint has stated a figure within the last seconds.
  bool HasRecentFigure(steady_time now) const;
  /// Logarithm of the duration of work that the stated figures let expect,
  /// without regard to the pool.
  double LogStated(steady_time now) const;
  /// Share of LogStated() that is supported by recent figures, 0 to 1.
  double Confidence(steady_time now) const;
  /// Measured durations, without the part that the stated figures explain.
  duration_evidence& evidence() { return evidence_; }
  const duration_evidence& evidence() const { return evidence_; }
  /// Moves the applied factor towards that of an endpoint which differs by
  /// `log_target` from its pool. One step is bounded, and small differences
  /// change nothing.
  void Follow(double log_target, steady_time now);
  /// Duration of work relative to the pool that placement applies.
  double factor() const { return factor_; }
  /// Forgets everything: the endpoint has started again.
  void Clear() { *this = speed_estimate(); }

 private:
  std::optional<steady_time> stated_at_;
  double log_stated_ = 0;
  /// Mean of the stated figures over some seconds.
  double log_mean_ = 0;
  duration_evidence evidence_;
  std::optional<steady_time> followed_at_;
  double log_factor_ = 0;
  double factor_ = 1;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_SPEED_ESTIMATE_H_
