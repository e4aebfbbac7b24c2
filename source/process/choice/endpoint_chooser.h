#ifndef MARJORAMSILL_PROCESS_CHOICE_ENDPOINT_CHOOSER_H_
#define MARJORAMSILL_PROCESS_CHOICE_ENDPOINT_CHOOSER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "process/choice/choice_failure.h"
#include "process/choice/choice_failure_reason.h"
#include "process/choice/choice_request.h"
#include "process/choice/endpoint_choice.h"
#include "process/choice/endpoint_chooser_settings.h"
#include "process/choice/load_table.h"
#include "process/choice/placement.h"
#include "types/ids.h"
#include "types/result.h"
#include "types/steady_time.h"
#include "types/units.h"

namespace marjoramsill {

/// Chooses endpoints for the requests of one model or service. Not thread-safe:
/// guarded by the lock of its shard. Choose() does not allocate memory.
class endpoint_chooser {
 public:
  endpoint_chooser(endpoint_chooser_settings settings,
                   std::shared_ptr<const placement> table);

  /// Replaces the placement after a change of the membership view; keeps the
  /// loads of endpoints that are in both placements.
  void SetPlacement(std::shared_ptr<const placement> table);
  void SetLoadMultiple(double multiple) { loads_.SetLoadMultiple(multiple); }
  void SetCondition(endpoint_index index, const endpoint_condition& condition);
  /// Records a load report: the number of requests in the engine at `as_of`,
  /// including those of this VM.
  void OnReport(endpoint_index index, std::uint32_t requests,
                steady_time as_of);
  /// Call every 100 ms.
  void Tick(steady_time now);

  result<endpoint_choice, choice_failure> Choose(const choice_request& request,
                                                 steady_time now);
  /// Records that a request was sent. It counts towards the load immediately.
  void OnSent(std::uint64_t key, endpoint_index index, steady_time now);
  void OnFinished(endpoint_index index, steady_time now);
  /// Records whether the endpoint caches the prefix of this key. Hints may be
  /// late or missing.
  void OnCacheHint(std::uint64_t key, endpoint_index index, bool is_cached);

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
  /// Intermediate state of one Choose() call.
  struct search_state {
    const choice_request& request;
    steady_time now;
    std::uint32_t preferred_count = 1;
    std::uint32_t examined = 0;
    bool any_usable = false;
    std::optional<endpoint_index> first;
    std::optional<endpoint_index> probe;
  };

  bool IsUsable(search_state& state, endpoint_index index) const;
  bool WithinBound(search_state& state, endpoint_index index, bool safe) const;
  std::optional<endpoint_index> CheapestOnRing(
      search_state& state, const placement::domain_ring& ring, bool safe) const;
  std::optional<endpoint_index> InOwnDomain(search_state& state) const;
  std::optional<endpoint_index> InOtherDomains(search_state& state,
                                               bool safe) const;
  double CostOf(const search_state& state, endpoint_index index,
                std::uint32_t position) const;
  std::optional<endpoint_index> ScanMembers(search_state& state,
                                            const placement::domain_ring& ring,
                                            bool safe,
                                            std::size_t max_members) const;
  std::optional<endpoint_index> HintedEndpoint(search_state& state) const;
  std::uint32_t PreferredCountOf(std::uint64_t key) const;

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
