#ifndef MARJORAMSILL_PROCESS_PLACEMENT_SMOOTHED_VALUE_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_SMOOTHED_VALUE_H_

namespace marjoramsill {

/// Exponentially weighted moving average. The first sample replaces the initial
/// value.
class smoothed_value {
 public:
  /// `gain`: weight of a new sample, above 0 and up to 1.
  explicit smoothed_value(double gain, double initial = 0)
      : gain_(gain), value_(initial) {}

  void Add(double sample) {
    value_ = has_samples_ ? value_ + gain_ * (sample - value_) : sample;
    has_samples_ = true;
  }
  double value() const { return value_; }
  bool has_samples() const { return has_samples_; }

 private:
  double gain_;
  double value_;
  bool has_samples_ = false;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_SMOOTHED_VALUE_H_
