#ifndef MARJORAMSILL_PROCESS_ADMISSION_LIMIT_ALLOCATOR_H_
#define MARJORAMSILL_PROCESS_ADMISSION_LIMIT_ALLOCATOR_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "process/admission/limit_types.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Grants shares of one workspace's limit to the VMs that request them. Grants
/// only while it holds an allocator lease from a majority of the workspace's
/// arbiters, and every share lease expires before the allocator lease does.
class limit_allocator {
 public:
  limit_allocator(const limit_settings& settings, workspace_id workspace,
                  std::uint64_t incarnation);

  void SetLimit(const workspace_limit& limit);
  void SetArbiters(std::vector<vm_id> arbiters);
  /// Handles a message from a holder. Appends the messages to send to `send`.
  void OnShareRequest(const vm_id& from, const limit_message& request,
                      steady_time now,
                      std::vector<outgoing_limit_message>& send);
  /// Handles the vote of an arbiter. Appends the messages to send to `send`.
  void OnLeaseGrant(const vm_id& from, const limit_message& grant,
                    steady_time now, std::vector<outgoing_limit_message>& send);
  /// Renews the allocator lease, removes expired shares and sends pending
  /// grants. Call every 50 ms.
  void Tick(steady_time now, std::vector<outgoing_limit_message>& send);
  /// True if the allocator has no state worth keeping: no holders are left, the
  /// allocator lease has expired, and a new allocator would start with the same
  /// burst and concurrency.
  bool idle(steady_time now) const;
  bool has_lease(steady_time now) const { return now < lease_end_; }

 private:
  struct holder {
    vm_id vm;
    std::uint64_t sequence = 0;
    steady_time requested_at;
    double requested_tokens = 0;
    std::uint32_t requested_concurrent = 0;
    /// Upper bounds of what the holder may currently use.
    double held_tokens = 0;
    std::uint32_t held_concurrent = 0;
    /// Last grant. The holder confirms a reduction with its next request.
    double granted_tokens = 0;
    std::uint32_t granted_concurrent = 0;
    steady_time expires_at;
    steady_time recalled_at;
    /// Tokens requested immediately; valid until the request is granted.
    double requested_burst = 0;
    bool granted = false;
  };
  /// Max-min fair share: each holder gets what it requested, but at most this.
  struct fair_level {
    double tokens = 0;
    double concurrent = 0;
  };
  struct vote {
    vm_id from;
    steady_time safe_at;
  };

  holder& FindOrAddHolder(const vm_id& vm);
  void RequestLease(steady_time now, std::vector<outgoing_limit_message>& send);
  void Accrue(steady_time now);
  double UnallocatedRate() const;
  void CapUnused();
  void Expire(steady_time now);
  fair_level FairLevel(steady_time now) const;
  void Grant(holder& recipient, const fair_level& level, bool is_response,
             std::uint32_t recalls, steady_time now,
             std::vector<outgoing_limit_message>& send);
  void GrantPending(steady_time now, std::vector<outgoing_limit_message>& send);
  /// Part of the limit that no holder other than `requester` holds.
  fair_level AvailableTo(const holder& requester, steady_time now) const;
  bool IsConstrained(const holder& entry, steady_time now) const;
  /// Recalls shares above the fair level. Returns the number of recalled
  /// shares, including earlier recalls that are still in progress.
  std::uint32_t Recall(const holder& requester, const fair_level& level,
                       steady_time now,
                       std::vector<outgoing_limit_message>& send);
  limit_message Message(limit_message_kind kind, std::uint64_t sequence) const;

  limit_settings settings_;
  workspace_id workspace_;
  workspace_limit limit_;
  std::vector<vm_id> arbiters_;
  std::vector<holder> holders_;
  std::uint64_t first_sequence_;
  std::uint64_t sequence_;
  steady_time lease_requested_at_;
  std::chrono::microseconds lease_duration_{0};
  std::vector<vote> votes_;
  steady_time lease_end_;
  /// Until this time, concurrency granted by an earlier allocator may still be
  /// in use.
  steady_time concurrency_safe_at_;
  /// Accumulated tokens of the unallocated part of the limit, capped at
  /// limit_settings::burst of that rate.
  double unused_tokens_ = 0;
  steady_time accrued_at_;
  steady_time previous_safe_at_;
  bool is_renewal_ = false;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_LIMIT_ALLOCATOR_H_
