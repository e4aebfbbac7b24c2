#ifndef MARJORAMSILL_CONNECTION_RECEIVE_BUDGET_H_
#define MARJORAMSILL_CONNECTION_RECEIVE_BUDGET_H_

#include <asio/execution_context.hpp>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace marjoramsill {

/// Bounds the bytes of requests that all http_servers on one I/O context hold.
/// A service of that context, since the HTTP library creates the sockets from
/// it alone. Thread-safe once the limit is set.
class receive_budget final : public asio::execution_context::service {
 public:
  // The type and the name are fixed by Asio.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static inline asio::execution_context::id id;

  explicit receive_budget(asio::execution_context& context);

  /// `memory_bytes`: memory that received requests may take; 0: no limit.
  /// `on_refused` is called, at most once a second, when a connection is closed
  /// because of it.
  void SetLimit(std::size_t memory_bytes, std::function<void()> on_refused);
  void Add(std::size_t bytes) { total_ += bytes; }
  void Remove(std::size_t bytes) { total_ -= bytes; }
  /// False if a connection that holds this number of bytes may receive no more.
  /// One that holds little always may, so that small requests are served beside
  /// large ones.
  bool MayReceive(std::size_t held) const;
  void Refuse();
  std::size_t total() const { return total_; }

 private:
  void shutdown() override {}

  std::size_t max_bytes_ = 0;
  std::function<void()> on_refused_;
  std::atomic<std::size_t> total_{0};
  /// Second of the steady clock in which `on_refused_` was called last.
  std::atomic<std::int64_t> refused_second_{-1};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_RECEIVE_BUDGET_H_
