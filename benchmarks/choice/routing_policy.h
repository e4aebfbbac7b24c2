#ifndef MARJORAMSILL_BENCHMARKS_CHOICE_ROUTING_POLICY_H_
#define MARJORAMSILL_BENCHMARKS_CHOICE_ROUTING_POLICY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fake_engine.h"
#include "process/choice/endpoint_chooser.h"

namespace marjoramsill {

/// The policy by which one router chooses endpoints. Each router has its own
/// object.
class routing_policy {
 public:
  virtual ~routing_policy() = default;
  virtual void SetPlacement(std::shared_ptr<const placement> table) = 0;
  virtual void Tick(steady_time now) = 0;
  virtual void OnReport(endpoint_index index, std::uint32_t requests,
                        steady_time as_of) = 0;
  virtual endpoint_index Choose(const engine_request& request,
                                steady_time now) = 0;
  virtual void OnSent(const engine_request& request, endpoint_index index,
                      steady_time now) = 0;
  virtual void OnFinished(endpoint_index index, steady_time now) = 0;
};

/// Names of all candidates and baselines.
const std::vector<std::string>& PolicyNames();

std::unique_ptr<routing_policy> MakePolicy(
    const std::string& name, const failure_domain_id& domain,
    std::shared_ptr<const placement> table, std::uint64_t seed);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_BENCHMARKS_CHOICE_ROUTING_POLICY_H_
