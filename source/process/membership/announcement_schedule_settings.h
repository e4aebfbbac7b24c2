#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_ANNOUNCEMENT_SCHEDULE_SETTINGS_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_ANNOUNCEMENT_SCHEDULE_SETTINGS_H_

#include <chrono>
#include <cstdint>

namespace marjoramsill {

struct announcement_schedule_settings {
  std::chrono::milliseconds interval{1000};
  /// Deviation from the interval at which an announcement is regular.
  std::chrono::milliseconds tolerance{100};
  /// A later announcement proves nothing. The evidence limit (2.5 s) plus this
  /// stays below the 3 s bound for endpoints that leave or die.
  std::chrono::milliseconds latest{400};
  /// Regular announcements in a row that establish the schedule.
  std::uint32_t regular_needed = 2;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_ANNOUNCEMENT_SCHEDULE_SETTINGS_H_
