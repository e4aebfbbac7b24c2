#ifndef MARJORAMSILL_PROCESS_CHOICE_ENDPOINT_CHOOSER_H_
#define MARJORAMSILL_PROCESS_CHOICE_ENDPOINT_CHOOSER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "process/choice/choice_failure.h"
#include "process/choice/choice_request.h"
#include "process/choice/endpoint_choice.h"
#include "process/choice/endpoint_chooser_settings.h"
#include "process/choice/load_table.h"
#include "process/choice/no_choice.h"
#include "process/choice/placement.h"
#include "types/ids.h"
#include "types/result.h"
#include "types/steady_time.h"
#include "types/units.h"

namespace marjoramsill {

/// Chooses endpoints for one model or service. Every call is made under the
/// lock of the shard that owns it. Choose() does not allocate.
class endpoint_chooser {
 public:
  endpoint_chooser(endpoint_chooser_settings settings,
                   std::shared_ptr<const placement> table);

  /// Replaces the placement after a change of the membership view; loads of
  /// endpoints that stay are kept.
  void SetPlacement(std::shared_ptr<const placement> table);
  void SetLoadMultiple(double multiple) { loads_.SetLoadMultiple(multiple); }
  void SetCondition(endpoint_index index, const endpoint_condition& condition);
  /// A load report: requests in the engine at `as_of`, those of this VM
  /// included.
  void OnReport(endpoint_index index, std::uint32_t requests,
                steady_time as_of);
  /// Call every 100 ms.
  void Tick(steady_time now);

  result<endpoint_choice, choice_failure> Choose(const choice_request& request,
                                                 steady_time now);
  /// The request is sent now; it counts at once.
  void OnSent(std::uint64_t key, endpoint_index index, steady_time now);
  void OnFinished(endpoint_index index, steady_time now);
  /// Cache event: the endpoint holds the prefix of this key, or has dropped
  /// it. Hints may be late or missing.
  void OnCacheHint(std::uint64_t key, endpoint_index index, bool holds);

  const placement& table() const { return *table_; }
  const load_table& loads() const { return loads_; }

 private:
  struct cache_hint {
    std::uint32_t tag = 0;
    endpoint_index index = 0;
  };
  struct key_count {
    std::uint32_t tag = 0;
    float count = 0;
  };
  /// What one choice has found so far.
  struct search {
    const choice_request& request;
    steady_time now;
    std::uint32_t homes = 1;
    std::uint32_t examined = 0;
    bool any_fresh = false;
    std::optional<endpoint_index> first;
    std::optional<endpoint_index> probe;
  };

  bool IsUsable(search& found, endpoint_index index) const;
  bool IsWithin(search& found, endpoint_index index, bool safely) const;
  std::optional<endpoint_index> Cheapest(search& found,
                                         const placement::domain_ring& ring,
                                         bool safely) const;
  std::optional<endpoint_index> InOwnDomain(search& found) const;
  std::optional<endpoint_index> InOtherDomains(search& found,
                                               bool safely) const;
  double CostOf(const search& found, endpoint_index index,
                std::uint32_t rank) const;
  std::optional<endpoint_index> Scan(search& found,
                                     const placement::domain_ring& ring,
                                     bool safely, std::size_t most) const;
  std::optional<endpoint_index> Hinted(search& found) const;
  std::uint32_t HomesOf(std::uint64_t key) const;

  endpoint_chooser_settings settings_;
  std::shared_ptr<const placement> table_;
  load_table loads_;
  std::optional<std::size_t> own_ring_;
  std::vector<cache_hint> hints_;
  std::vector<key_count> counts_;
  float sent_ = 0;
  steady_time last_decay_ = steady_time::min();
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CHOICE_ENDPOINT_CHOOSER_H_
