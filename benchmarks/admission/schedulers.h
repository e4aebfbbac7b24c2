#ifndef MARJORAMSILL_BENCHMARKS_ADMISSION_SCHEDULERS_H_
#define MARJORAMSILL_BENCHMARKS_ADMISSION_SCHEDULERS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "process/admission/admission_types.h"

namespace marjoramsill {

/// Schedules the requests of one entry VM on its part of the capacity. Offer,
/// Finish and Tick append decisions; a rejection is final.
class scheduler {
 public:
  struct decision {
    std::uint64_t request;
    bool admitted;
  };
  virtual ~scheduler() = default;
  virtual void Offer(const admission_offer& offer, steady_time now,
                     std::vector<decision>& decisions) = 0;
  virtual void Finish(std::uint64_t request, steady_time now,
                      std::vector<decision>& decisions) = 0;
  virtual void Tick(steady_time now, std::vector<decision>& decisions) = 0;
};

/// `name`: "admission_queue", or a baseline: "fifo", "strict_priority",
/// "round_robin", "deficit_round_robin", "shortest_first". Baselines have
/// bounded queues and drop a request if it is too late when its turn comes. All
/// but fifo serve the most urgent rank first, without guaranteed shares.
std::unique_ptr<scheduler> MakeScheduler(const std::string& name,
                                         const admission_capacity& capacity,
                                         std::uint64_t seed);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_BENCHMARKS_ADMISSION_SCHEDULERS_H_
