#ifndef MARJORAMSILL_PROCESS_ENTRY_METRIC_BUILDERS_H_
#define MARJORAMSILL_PROCESS_ENTRY_METRIC_BUILDERS_H_

#include <string>
#include <vector>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
class Registry;
}  // namespace prometheus

namespace marjoramsill {

// Metrics without labels. They live as long as the registry.

prometheus::Counter* MakeCounter(prometheus::Registry& registry,
                                 const std::string& name,
                                 const std::string& help);
prometheus::Gauge* MakeGauge(prometheus::Registry& registry,
                             const std::string& name, const std::string& help);
/// `bounds`: upper bounds of the buckets, ascending.
prometheus::Histogram* MakeHistogram(prometheus::Registry& registry,
                                     const std::string& name,
                                     const std::string& help,
                                     const std::vector<double>& bounds);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_METRIC_BUILDERS_H_
