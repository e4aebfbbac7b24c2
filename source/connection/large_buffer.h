#ifndef MARJORAMSILL_CONNECTION_LARGE_BUFFER_H_
#define MARJORAMSILL_CONNECTION_LARGE_BUFFER_H_

#include <cstddef>
#include <string>

namespace marjoramsill {

/// Larger buffers are released when they are empty, and their sent part while
/// they are not.
inline constexpr std::size_t kMaxKeptBuffer = std::size_t{64} * 1024;

/// Assigning an empty string would keep the memory.
inline void ReleaseBuffer(std::string& buffer) { std::string().swap(buffer); }

inline void ReleaseIfLarge(std::string& buffer) {
  if (buffer.empty() && buffer.capacity() > kMaxKeptBuffer) {
    ReleaseBuffer(buffer);
  }
}

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_LARGE_BUFFER_H_
