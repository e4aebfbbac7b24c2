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

/// Gives out shares of one workspace's limit to the VMs that ask. Acts only
/// with a licence of a majority of the workspace's arbiters, and every share
/// ends before the licence does.
class limit_allocator {
 public:
  limit_allocator(const limit_settings& settings, workspace_id workspace,
                  std::uint64_t life);

  void SetLimit(const workspace_limit& limit);
  void SetArbiters(std::vector<vm_id> arbiters);
  void OnAsk(const vm_id& from, const limit_message& ask, steady_time now,
             std::vector<limit_send>& send);
  void OnLicence(const vm_id& from, const limit_message& licence,
                 steady_time now, std::vector<limit_send>& send);
  void Tick(steady_time now, std::vector<limit_send>& send);
  /// No holder is left and the licence has ended.
  bool idle(steady_time now) const;
  bool licensed(steady_time now) const { return now < licensed_until_; }

 private:
  struct holder {
    vm_id vm;
    std::uint64_t sequence = 0;
    steady_time asked_at;
    double wants_tokens = 0;
    std::uint32_t wants_concurrent = 0;
    /// Upper bounds of what the holder may use now.
    double held_tokens = 0;
    std::uint32_t held_concurrent = 0;
    /// Last grant; the holder confirms a lower one with its next ask.
    double given_tokens = 0;
    std::uint32_t given_concurrent = 0;
    steady_time until;
    steady_time recalled_at;
    /// Tokens wanted at once, until the ask is answered.
    double wants_burst = 0;
    bool answered = false;
  };
  /// Equal parts such that nobody gets more than it wants.
  struct fair_level {
    double tokens = 0;
    double concurrent = 0;
  };
  struct vote {
    vm_id from;
    steady_time safe_from;
  };

  holder& Find(const vm_id& vm);
  void AskLicence(steady_time now, std::vector<limit_send>& send);
  void Accrue(steady_time now);
  double UnheldRate() const;
  void CapUnused();
  void Expire(steady_time now);
  fair_level Level(steady_time now) const;
  void Grant(holder& to, const fair_level& level, bool answer,
             std::uint32_t recalls, steady_time now,
             std::vector<limit_send>& send);
  void GrantWaiting(steady_time now, std::vector<limit_send>& send);
  /// Part of the limit that the others do not hold.
  fair_level Free(const holder& without, steady_time now) const;
  bool IsShort(const holder& of, steady_time now) const;
  /// Recalls shares above the fair level; returns how many.
  std::uint32_t Recall(const holder& asker, const fair_level& level,
                       steady_time now, std::vector<limit_send>& send);
  limit_message Message(limit_message_kind kind, std::uint64_t sequence) const;

  limit_settings settings_;
  workspace_id workspace_;
  workspace_limit limit_;
  std::vector<vm_id> arbiters_;
  std::vector<holder> holders_;
  std::uint64_t first_sequence_;
  std::uint64_t sequence_;
  steady_time licence_asked_at_;
  std::chrono::microseconds licence_duration_{0};
  std::vector<vote> votes_;
  steady_time licensed_until_;
  /// Before this time concurrency that another allocator gave out may be used.
  steady_time concurrency_from_;
  /// Tokens of the part of the limit that nobody held lately, at most
  /// limit_settings::burst of it.
  double unused_tokens_ = 0;
  steady_time accrued_at_;
  steady_time safe_before_;
  bool is_renewal_ = false;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_LIMIT_ALLOCATOR_H_
