#ifndef MARJORAMSILL_CONNECTION_MEMORY_BUDGET_H_
#define MARJORAMSILL_CONNECTION_MEMORY_BUDGET_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_set>
#include <utility>
#include <vector>

#include "connection/memory_kind.h"
#include "connection/memory_shortage.h"
#include "types/random_source.h"
#include "types/steady_time.h"

namespace marjoramsill {

class memory_account;

/// Bounds the bytes that callers and endpoints make a process hold, over all
/// connections of callers. Each connection reports its bytes in a
/// memory_account, which the budget must outlive. Used on one thread.
class memory_budget {
 public:
  using shortage_hook = std::function<void(const memory_shortage&)>;

  /// Without progress for this long a connection counts as stalled. Sound links
  /// are silent for up to a second.
  static constexpr std::chrono::milliseconds kStallTime{2'000};

  memory_budget(std::size_t limit, random_source random);
  memory_budget(const memory_budget&) = delete;
  memory_budget& operator=(const memory_budget&) = delete;

  /// Share of the VM's memory that connections may use. `memory_mb`: as in the
  /// settings, 0 if it is not; then `machine_bytes`, as far as it is known,
  /// bounds the default.
  static std::size_t LimitFor(std::uint32_t memory_mb,
                              std::optional<std::size_t> machine_bytes);

  /// Called before a connection is closed.
  void OnShortage(shortage_hook hook) { on_shortage_ = std::move(hook); }

  /// Must be called several times a second. A longer gap than the stall time is
  /// a pause of the process, which is no stall of its callers.
  void Tick(steady_time now);
  /// Closes connections until the rest is within the limit, or until only
  /// requests in progress without any byte of a response are left. Stalled
  /// connections are closed first, then those whose request is not complete,
  /// then those with bytes of a response; of each group the one that holds
  /// most.
  void Relieve(steady_time now);
  /// Reports that a complete request is refused, since Relieve() left the sum
  /// above the limit.
  void Refuse(const memory_account& account, steady_time now);

  bool IsExceeded() const { return total_ > limit_; }
  /// A complete request that holds this number of bytes, which are part of the
  /// sum, must be refused. Requests of more than 64 KiB leave an eighth of the
  /// limit to smaller ones.
  bool IsExceededFor(std::size_t request_bytes) const;
  std::size_t limit() const { return limit_; }
  std::size_t total() const { return total_; }
  std::size_t held(memory_kind kind) const {
    return held_[static_cast<std::size_t>(kind)];
  }
  /// Retry-After of a request that is refused, with jitter.
  std::chrono::milliseconds RetryAfter();

 private:
  friend class memory_account;

  struct candidate {
    memory_account* account = nullptr;
    memory_close_reason reason = memory_close_reason::kStalled;
    std::size_t total = 0;
  };

  void Add(memory_account& account);
  void Remove(memory_account& account);
  void Change(memory_kind kind, std::size_t from, std::size_t to);
  /// Lower groups are closed first. None: the connection is not closed.
  std::optional<memory_close_reason> ReasonToClose(
      const memory_account& account, steady_time now) const;
  /// In the order in which they are closed.
  std::vector<candidate> FindCandidates(steady_time now) const;
  void Report(const memory_account& account, memory_close_reason reason,
              steady_time now) const;

  const std::size_t limit_;
  const random_source random_;
  shortage_hook on_shortage_;
  std::optional<steady_time> last_tick_;
  /// End of the last pause of the process, if there was one.
  std::optional<steady_time> resumed_at_;
  std::size_t total_ = 0;
  std::array<std::size_t, kMemoryKindCount> held_{};
  std::unordered_set<memory_account*> accounts_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_MEMORY_BUDGET_H_
