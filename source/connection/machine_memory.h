#ifndef MARJORAMSILL_CONNECTION_MACHINE_MEMORY_H_
#define MARJORAMSILL_CONNECTION_MACHINE_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace marjoramsill {

/// What bounds the memory of this process, each in bytes, as far as it is set.
struct memory_bounds {
  /// Memory of the machine.
  std::optional<std::size_t> physical;
  /// Limits of the process on its address space and on its data.
  std::optional<std::size_t> address_space;
  std::optional<std::size_t> data;
  /// Limit of its control group.
  std::optional<std::size_t> control_group;
};

/// Reads the bounds that the system sets.
memory_bounds ReadMemoryBounds();
/// The least of the bounds; nothing without any.
std::optional<std::size_t> LeastBound(const memory_bounds& bounds);
/// memory_budget::LimitFor() on this machine.
std::size_t RequestMemory(std::uint32_t memory_mb);
/// Parses the limit of a control group: bytes, or "max" for none.
std::optional<std::size_t> ParseGroupLimit(std::string_view text);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_MACHINE_MEMORY_H_
