#ifndef MARJORAMSILL_PROCESS_CHOICE_ENDPOINT_CHOOSER_H_
#define MARJORAMSILL_PROCESS_CHOICE_ENDPOINT_CHOOSER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "process/choice/placement.h"
#include "types/ids.h"
#include "types/result.h"
#include "types/steady_time.h"
#include "types/units.h"

namespace marjoramsill {

struct endpoint_chooser_settings {
  failure_domain_id own_domain;
  /// Policy: highest load over the mean load, both relative to capacity.
  double load_multiple = 1.25;
};

struct choice_request {
  /// From PlacementKey().
  std::uint64_t key = 0;
  token_count prefix_tokens;
  cost_units cost;
  /// Endpoints already tried for this request.
  std::span<const endpoint_index> excluded;
};

enum class no_choice : std::uint8_t {
  /// No endpoint, or only excluded, draining and refused ones.
  kNoEndpoint,
  /// All usable endpoints are at the bound.
  kAllOverBound,
  /// Endpoints are known, but none has fresh evidence: probe first.
  kNoFreshEvidence
};

struct endpoint_choice {
  endpoint_index index = 0;
  /// Entries of the load table that were read.
  std::uint32_t examined = 0;
  /// The endpoint comes first in the order of the key.
  bool is_home = false;
};

/// What the membership module knows about one endpoint.
struct endpoint_condition {
  /// New work may be sent until this time.
  steady_time fresh_until;
  /// False while held down, leaving or with an open circuit.
  bool admitted = true;
};

/// Chooses endpoints for one model or service. Every call is made under the
/// lock of the shard that owns it. Choose() does not allocate.
class endpoint_chooser {
 public:
  endpoint_chooser(endpoint_chooser_settings settings,
                   std::shared_ptr<const placement> table);

  /// Replaces the placement after a change of the membership view; loads of
  /// endpoints that stay are kept.
  void SetPlacement(std::shared_ptr<const placement> table);
  void SetCondition(endpoint_index index, const endpoint_condition& condition);
  /// A load report: requests in the engine at `as_of`, of which this VM's own
  /// ones that were sent before are part.
  void OnReport(endpoint_index index, std::uint32_t requests,
                steady_time as_of);

  result<endpoint_choice, no_choice> Choose(const choice_request& request,
                                            steady_time now);
  /// The chosen endpoint gets the request now; it counts at once.
  void OnSent(endpoint_index index, steady_time now);
  void OnFinished(endpoint_index index, steady_time now);
  /// Cache event: the endpoint has dropped or holds the prefix of this key.
  void OnCacheHint(std::uint64_t key, endpoint_index index, bool holds);

  const placement& table() const { return *table_; }
  /// Estimated requests in the engine.
  double EstimatedLoad(endpoint_index index, steady_time now) const;
  /// Requests that the endpoint may hold, the next one included.
  double BoundOf(endpoint_index index, steady_time now) const;

 private:
  struct load_entry;

  endpoint_chooser_settings settings_;
  std::shared_ptr<const placement> table_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CHOICE_ENDPOINT_CHOOSER_H_
