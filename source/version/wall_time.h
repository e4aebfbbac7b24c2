#ifndef MARJORAMSILL_VERSION_WALL_TIME_H_
#define MARJORAMSILL_VERSION_WALL_TIME_H_

#include <chrono>
#include <optional>
#include <string_view>

namespace marjoramsill {

/// Calendar time, used only for the expiry of keys. Decision code never reads
/// it from a clock: the leader adds it to each command.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// Parses `2027-12-31T00:00:00Z`; no other form is accepted.
std::optional<wall_time> ParseWallTime(std::string_view text);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_WALL_TIME_H_
