#ifndef MARJORAMSILL_PROCESS_REPLICATION_SLOW_TRANSFER_H_
#define MARJORAMSILL_PROCESS_REPLICATION_SLOW_TRANSFER_H_

#include <chrono>
#include <cstddef>

namespace marjoramsill {

/// Time that a message of this size may take on a link of which other traffic
/// leaves only 64 KB a second. A message is neither given up nor repeated
/// sooner, since that would only add to the traffic.
inline std::chrono::microseconds SlowTransferTime(std::size_t bytes) {
  constexpr int kMicrosecondsPerByte = 16;
  return std::chrono::microseconds(bytes * kMicrosecondsPerByte);
}

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_SLOW_TRANSFER_H_
