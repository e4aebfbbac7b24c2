#ifndef MARJORAMSILL_PROCESS_DAEMON_METRIC_REGISTRY_H_
#define MARJORAMSILL_PROCESS_DAEMON_METRIC_REGISTRY_H_

#include <prometheus/family.h>

#include <memory>
#include <string>
#include <vector>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
class Registry;
}  // namespace prometheus

namespace marjoramsill {

/// The metrics of a process. Returned pointers are valid as long as the
/// registry exists.
class metric_registry {
 public:
  metric_registry();
  ~metric_registry();
  metric_registry(const metric_registry&) = delete;
  metric_registry& operator=(const metric_registry&) = delete;

  prometheus::Counter* AddCounter(const std::string& name,
                                  const std::string& help);
  /// A family of counters that differ in their labels.
  prometheus::Family<prometheus::Counter>& AddCounters(const std::string& name,
                                                       const std::string& help);
  prometheus::Gauge* AddGauge(const std::string& name, const std::string& help);
  /// `bounds`: upper bounds of the buckets, ascending.
  prometheus::Histogram* AddHistogram(const std::string& name,
                                      const std::string& help,
                                      const std::vector<double>& bounds);
  /// The Prometheus text format.
  std::string Text() const;

 private:
  std::unique_ptr<prometheus::Registry> registry_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_METRIC_REGISTRY_H_
