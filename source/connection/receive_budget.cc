#include "connection/receive_budget.h"

#include <chrono>
#include <utility>

namespace marjoramsill {
namespace {

/// Memory that one received byte takes. A body is a string that grows by
/// doubling, and the HTTP library keeps a record of each chunk.
constexpr std::size_t kMemoryPerByte = 3;
/// More than the heartbeat of an endpoint, an order or a read.
constexpr std::size_t kSmallRequestBytes = std::size_t{16} * 1024;

}  // namespace

receive_budget::receive_budget(asio::execution_context& context)
    : service(context) {}

void receive_budget::SetLimit(std::size_t memory_bytes,
                              std::function<void()> on_refused) {
  max_bytes_ = memory_bytes / kMemoryPerByte;
  on_refused_ = std::move(on_refused);
}

bool receive_budget::MayReceive(std::size_t held) const {
  return max_bytes_ == 0 || held < kSmallRequestBytes || total_ <= max_bytes_;
}

void receive_budget::Refuse() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  const std::int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(now).count();
  if (refused_second_.exchange(second) != second && on_refused_) on_refused_();
}

}  // namespace marjoramsill
