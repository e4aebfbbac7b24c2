#include "process/entry/metric_builders.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace marjoramsill {

prometheus::Counter* MakeCounter(prometheus::Registry& registry,
                                 const std::string& name,
                                 const std::string& help) {
  auto& family =
      prometheus::BuildCounter().Name(name).Help(help).Register(registry);
  return &family.Add({});
}

prometheus::Gauge* MakeGauge(prometheus::Registry& registry,
                             const std::string& name, const std::string& help) {
  auto& family =
      prometheus::BuildGauge().Name(name).Help(help).Register(registry);
  return &family.Add({});
}

prometheus::Histogram* MakeHistogram(prometheus::Registry& registry,
                                     const std::string& name,
                                     const std::string& help,
                                     const std::vector<double>& bounds) {
  auto& family =
      prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
  return &family.Add({}, bounds);
}

}  // namespace marjoramsill
