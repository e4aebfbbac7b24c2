#ifndef MARJORAMSILL_VERSION_POOL_POLICY_H_
#define MARJORAMSILL_VERSION_POOL_POLICY_H_

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace marjoramsill {

/// Tells whether calls of a service may be repeated. `path` is exact, or a
/// prefix when it ends in `*`.
struct call_rule {
  std::string method;
  std::string path;
  bool repeatable = false;

  friend bool operator==(const call_rule&, const call_rule&) = default;
};

/// A model version and the share of new chats, 0 to 1, that it receives.
struct model_version {
  std::string name;
  double share = 1;

  friend bool operator==(const model_version&, const model_version&) = default;
};

/// Policy of one model or one plain service.
struct pool_policy {
  bool is_service = false;
  /// No endpoint carries more than this multiple of the mean load (I1).
  double load_bound = 1.25;
  /// Extra attempts as a share of first attempts.
  double retry_budget = 0.10;
  /// How long a finished claim is retained.
  std::chrono::seconds claim_retention = std::chrono::hours(24);
  /// True when the engines reject an order with an old fencing number.
  bool engines_check_fencing = false;
  /// Versions of a model; empty for a service.
  std::vector<model_version> versions;
  /// Rules of a service; the first that matches decides.
  std::vector<call_rule> calls;

  /// Whether the call may run more than once. Chat completions always may. A
  /// service call may when a rule says so; without a rule only GET and HEAD
  /// may. `path` is relative to the service and may contain a query, which is
  /// ignored. A path that is not in normal form (percent-encoding, empty, `.`
  /// or `..` segments) could evade a rule; it is repeatable only for GET and
  /// HEAD of a service without a rule that forbids repeats of this method.
  bool IsRepeatable(std::string_view method, std::string_view path) const;

  friend bool operator==(const pool_policy&, const pool_policy&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_POOL_POLICY_H_
