#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_ANNOUNCEMENT_SCHEDULE_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_ANNOUNCEMENT_SCHEDULE_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "process/membership/announcement_schedule_settings.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Dates the announcements of one endpoint. They carry no time, and one that
/// waited in a socket buffer or on a cut link may come after its endpoint has
/// died. The dates rest on the fixed sending schedule: an endpoint sends one
/// announcement an interval. The schedule counts as established after regular
/// announcements and a direct answer; an announcement is then dated back by its
/// lateness, and one that is too late ends the schedule.
class announcement_schedule {
 public:
  explicit announcement_schedule(
      const announcement_schedule_settings& settings = {});

  /// Returns the date of the announcement, or empty when it proves nothing.
  std::optional<steady_time> OnAnnouncement(steady_time now);
  /// The endpoint answered a request that was sent at `sent_at`.
  void OnDirectAnswer(steady_time sent_at, steady_time now);
  /// After a freeze or a silence.
  void Reset();

 private:
  announcement_schedule_settings settings_;
  std::optional<steady_time> last_;
  std::uint32_t regular_ = 0;
  bool answered_ = false;
  std::chrono::microseconds lateness_{0};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_ANNOUNCEMENT_SCHEDULE_H_
