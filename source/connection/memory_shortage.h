#ifndef MARJORAMSILL_CONNECTION_MEMORY_SHORTAGE_H_
#define MARJORAMSILL_CONNECTION_MEMORY_SHORTAGE_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <string_view>

#include "connection/memory_kind.h"

namespace marjoramsill {

/// Why a connection was closed because memory is exhausted.
enum class memory_close_reason {
  /// The largest one without progress.
  kStalled,
  /// The largest one whose request is not complete.
  kIncoming,
  /// The largest one with bytes of a response.
  kResponse,
  /// A request that has just been completed, while no connection could be
  /// closed instead.
  kRefused,
};

inline constexpr std::size_t kMemoryCloseReasonCount = 4;

/// Label of metrics and log lines.
std::string_view MemoryCloseReasonText(memory_close_reason reason);

/// A decision to close a connection, with its inputs.
struct memory_shortage {
  memory_close_reason reason = memory_close_reason::kStalled;
  /// Bytes of this connection.
  std::array<std::size_t, kMemoryKindCount> held{};
  /// Time since the last progress of this connection.
  std::chrono::microseconds stalled{0};
  /// Bytes of all connections, and their limit.
  std::size_t total = 0;
  std::size_t limit = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_MEMORY_SHORTAGE_H_
