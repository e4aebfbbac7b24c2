#ifndef MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_TYPES_H_
#define MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_TYPES_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "types/rank.h"
#include "types/result.h"
#include "types/steady_time.h"
#include "types/strong_number.h"
#include "types/units.h"

namespace marjoramsill {

/// Names a request within this process; chosen by the caller, returned in
/// actions.
using request_handle = strong_number<struct request_handle_tag>;
/// Dense index of a workspace within this process, from 0.
using workspace_handle = strong_number<struct workspace_handle_tag>;
/// Names one accepted offer until its final outcome. Contains a generation, so
/// that an outdated ticket is recognised.
using admission_ticket = strong_number<struct admission_ticket_tag>;

/// The part of the endpoints' capacity that this process may use.
struct admission_capacity {
  /// Cost of admitted, unfinished requests. A request is admitted while the
  /// sum is below this value, so the sum exceeds it by at most one request.
  cost_units cost;
  /// Number of admitted, unfinished requests.
  std::uint32_t concurrency = 0;
};

struct rank_admission {
  /// Part of the admitted cost, 0 to 1, that the rank keeps while it has work
  /// waiting. Ignored for urgent, which takes what the others do not keep.
  double share = 0;
  std::size_t max_queued_per_workspace = 256;
  /// Bound of the rank's queue over all workspaces.
  std::size_t max_queued = 65536;
};

struct admission_policy {
  /// Indexed by rank. The sum of the shares must be below 1.
  std::array<rank_admission, kRankCount> ranks = {
      rank_admission{}, rank_admission{.share = 0.25},
      rank_admission{.share = 0.05}};
  /// How long requests wait without any capacity before they are rejected.
  std::chrono::microseconds no_capacity_grace = std::chrono::seconds(2);
  std::chrono::microseconds min_retry_after = std::chrono::seconds(1);
  std::chrono::microseconds max_retry_after = std::chrono::seconds(120);
};

struct admission_offer {
  request_handle request;
  marjoramsill::rank rank = rank::kStandard;
  workspace_handle workspace;
  /// Weight of the workspace in its rank, above 0.
  double weight = 1;
  cost_units cost;
  steady_time deadline;
  std::chrono::microseconds expected_service{0};
};

enum class rejection_kind {
  /// The deadline is nearer than the estimated wait plus the service time.
  kDeadline,
  kWorkspaceQueueFull,
  kRankQueueFull,
  kNoCapacity,
  /// Cost or weight is not above 0.
  kInvalid,
};

/// A final outcome: the request has not run.
struct admission_rejection {
  rejection_kind kind = rejection_kind::kDeadline;
  /// Jittered; its mean follows the backlog.
  std::chrono::microseconds retry_after{0};
};

enum class offer_state { kAdmitted, kQueued };

struct accepted_offer {
  offer_state state = offer_state::kQueued;
  admission_ticket ticket;
};

using offer_result = result<accepted_offer, admission_rejection>;

enum class admission_action_kind { kAdmit, kReject };

/// What the caller does after it has released the shard's lock.
struct admission_action {
  admission_action_kind kind = admission_action_kind::kAdmit;
  request_handle request;
  admission_ticket ticket;
  /// Meaningful for kReject only; the ticket is then no longer valid.
  admission_rejection rejection;
};

/// Reused by the caller, so that appending does not allocate.
using admission_actions = std::vector<admission_action>;

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_TYPES_H_
