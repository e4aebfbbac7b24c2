#ifndef MARJORAMSILL_CONNECTION_RECEIVE_ACCOUNT_H_
#define MARJORAMSILL_CONNECTION_RECEIVE_ACCOUNT_H_

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

#include "connection/receive_budget.h"

namespace marjoramsill {

/// Bytes of requests that one connection of an http_server holds: received, and
/// not released because their response has ended. Thread-safe.
class receive_account {
 public:
  explicit receive_account(receive_budget& budget) : budget_(budget) {}
  ~receive_account() { budget_.Remove(held_); }
  receive_account(const receive_account&) = delete;
  receive_account& operator=(const receive_account&) = delete;

  void Add(std::size_t bytes) {
    held_ += bytes;
    unassigned_ += bytes;
    budget_.Add(bytes);
  }
  /// Returns the bytes received since the last call, which belong to the
  /// request that has just become complete.
  std::size_t TakeForRequest() { return std::exchange(unassigned_, 0); }
  void Release(std::size_t bytes) {
    held_ -= bytes;
    budget_.Remove(bytes);
  }
  bool MayReceive() const { return budget_.MayReceive(held_); }
  void Refuse() { budget_.Refuse(); }

  /// The account of the connection whose bytes this thread is parsing; null
  /// outside. The HTTP library does not pass its sockets to handlers.
  static std::shared_ptr<receive_account>& Current() {
    static thread_local std::shared_ptr<receive_account> current;
    return current;
  }

 private:
  receive_budget& budget_;
  std::atomic<std::size_t> held_{0};
  /// Used on the thread that reads the connection only.
  std::size_t unassigned_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_RECEIVE_ACCOUNT_H_
