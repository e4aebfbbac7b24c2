#include "process/daemon/metric_registry.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace marjoramsill {

metric_registry::metric_registry()
    : registry_(std::make_unique<prometheus::Registry>()) {}

metric_registry::~metric_registry() = default;

prometheus::Counter* metric_registry::AddCounter(const std::string& name,
                                                 const std::string& help) {
  return &AddCounters(name, help).Add({});
}

prometheus::Family<prometheus::Counter>& metric_registry::AddCounters(
    const std::string& name, const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(*registry_);
}

prometheus::Gauge* metric_registry::AddGauge(const std::string& name,
                                             const std::string& help) {
  auto& family =
      prometheus::BuildGauge().Name(name).Help(help).Register(*registry_);
  return &family.Add({});
}

prometheus::Histogram* metric_registry::AddHistogram(
    const std::string& name, const std::string& help,
    const std::vector<double>& bounds) {
  auto& family =
      prometheus::BuildHistogram().Name(name).Help(help).Register(*registry_);
  return &family.Add({}, bounds);
}

std::string metric_registry::Text() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace marjoramsill
