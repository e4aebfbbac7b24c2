#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_ANNOUNCEMENT_SCHEDULE_SETTINGS_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_ANNOUNCEMENT_SCHEDULE_SETTINGS_H_

#include <chrono>
#include <cstdint>

namespace marjoramsill {

struct announcement_schedule_settings {
  /// Interval at which an endpoint sends its announcements.
  std::chrono::milliseconds interval{1000};
  /// Largest deviation from the interval of a regular announcement.
  std::chrono::milliseconds tolerance{100};
  /// An announcement that is later than this is not liveness evidence. The
  /// evidence limit (2.5 s) plus this value stays below the 3 s bound on using
  /// endpoints that leave or die.
  std::chrono::milliseconds max_lateness{400};
  /// Consecutive regular announcements that establish the schedule.
  std::uint32_t min_regular = 2;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_ANNOUNCEMENT_SCHEDULE_SETTINGS_H_
