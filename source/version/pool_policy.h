#ifndef MARJORAMSILL_VERSION_POOL_POLICY_H_
#define MARJORAMSILL_VERSION_POOL_POLICY_H_

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace marjoramsill {

/// Whether calls of a service may be repeated. `path` is an exact path, or a
/// prefix if it ends with `*`.
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
  /// Maximum load of an endpoint as a multiple of the mean load (I1).
  double load_bound = 1.25;
  /// Maximum number of extra attempts as a share of first attempts.
  double retry_budget = 0.10;
  /// How long a finished claim is retained.
  std::chrono::seconds claim_retention = std::chrono::hours(24);
  /// True when the engines reject orders with an outdated fencing number.
  bool engines_check_fencing = false;
  /// Versions of a model; empty for a service.
  std::vector<model_version> versions;
  /// Rules of a service; the first match applies.
  std::vector<call_rule> calls;

  /// Whether the call may run more than once. True for chat completions. For a
  /// service the first matching rule decides; without a match, GET and HEAD are
  /// repeatable. `path` is relative to the service; a query is ignored. A path
  /// that is not in normal form (percent-encoding, empty, `.` or `..` segments)
  /// could bypass a rule. It is repeatable only for GET and HEAD, and only if
  /// no rule forbids repeats of this method.
  bool IsRepeatable(std::string_view method, std::string_view path) const;

  friend bool operator==(const pool_policy&, const pool_policy&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_POOL_POLICY_H_
