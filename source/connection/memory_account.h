#ifndef MARJORAMSILL_CONNECTION_MEMORY_ACCOUNT_H_
#define MARJORAMSILL_CONNECTION_MEMORY_ACCOUNT_H_

#include <array>
#include <cstddef>
#include <functional>

#include "connection/memory_kind.h"
#include "types/steady_time.h"

namespace marjoramsill {

class memory_budget;

/// Bytes that one connection of a caller makes its process hold.
class memory_account {
 public:
  /// Without a budget nothing is counted or closed. `close` must set the bytes
  /// of the account to 0, apart from a short refusal.
  memory_account(memory_budget* budget, steady_time now,
                 std::function<void()> close);
  ~memory_account();
  memory_account(const memory_account&) = delete;
  memory_account& operator=(const memory_account&) = delete;

  void Set(memory_kind kind, std::size_t bytes);
  /// Sets all kinds to 0.
  void Clear();
  /// The caller has sent or taken this number of bytes. It is progress once it
  /// amounts to a fixed fraction of what is held, so that a caller cannot keep
  /// megabytes with single bytes at long intervals.
  void RecordTransfer(std::size_t bytes, steady_time now);

  /// The caller sends a new request or receives a new response from now on.
  void RestartProgress(steady_time now);

  std::size_t held(memory_kind kind) const {
    return held_[static_cast<std::size_t>(kind)];
  }
  const std::array<std::size_t, kMemoryKindCount>& all() const { return held_; }
  std::size_t total() const;
  steady_time last_progress() const { return last_progress_; }

  /// See memory_budget.
  void Relieve(steady_time now);
  bool IsExceeded() const;
  bool IsExceededFor(std::size_t request_bytes) const;
  memory_budget* budget() const { return budget_; }

 private:
  friend class memory_budget;

  memory_budget* const budget_;
  const std::function<void()> close_;
  std::array<std::size_t, kMemoryKindCount> held_{};
  /// Bytes transferred since the last progress.
  std::size_t transferred_ = 0;
  steady_time last_progress_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_MEMORY_ACCOUNT_H_
