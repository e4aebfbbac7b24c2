#ifndef MARJORAMSILL_PROCESS_ADMISSION_ENTRY_POOL_H_
#define MARJORAMSILL_PROCESS_ADMISSION_ENTRY_POOL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "process/admission/admission_types.h"

namespace marjoramsill {

using entry_index = std::uint32_t;
/// An index that refers to no entry.
inline constexpr entry_index kNoEntry = 0xffffffff;

enum class entry_state : std::uint8_t { kFree, kQueued, kRunning };

/// An accepted offer; fits in one cache line. `next` and `previous` link the
/// entries of a workspace's queue.
struct alignas(64) admission_entry {
  request_handle request;
  std::uint64_t cost = 0;
  steady_time deadline;
  std::chrono::microseconds service{0};
  entry_index next = kNoEntry;
  entry_index previous = kNoEntry;
  std::uint32_t workspace = 0;
  std::uint32_t generation = 0;
  marjoramsill::rank rank = rank::kStandard;
  entry_state state = entry_state::kFree;
  /// Admitted ahead of a more urgent rank, as part of the rank's guaranteed
  /// share.
  bool overtakes = false;
};

/// Pool of entries addressed by index. Freed entries are reused, so that a
/// steady load does not allocate.
class entry_pool {
 public:
  entry_index Allocate(const admission_offer& offer);
  void Free(entry_index index);
  admission_entry& at(entry_index index) { return entries_[index]; }
  const admission_entry& at(entry_index index) const { return entries_[index]; }

  admission_ticket Ticket(entry_index index) const;
  /// Returns kNoEntry if the ticket is stale or its entry is in another state.
  entry_index Find(admission_ticket ticket, entry_state state) const;
  std::size_t MemoryBytes() const;

 private:
  std::vector<admission_entry> entries_;
  entry_index free_ = kNoEntry;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_ENTRY_POOL_H_
