#ifndef MARJORAMSILL_PROCESS_DIRECTORY_FLEET_POSITION_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_FLEET_POSITION_H_

#include <cstdint>

namespace marjoramsill {

/// The place of an entry VM among all of the fleet, in an order that the
/// control processes know. Entry VMs divide limits of the whole fleet by it.
struct fleet_position {
  std::uint32_t entry_count = 1;
  /// Below `entry_count`, different for each entry VM.
  std::uint32_t entry_index = 0;

  friend bool operator==(const fleet_position&,
                         const fleet_position&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_FLEET_POSITION_H_
