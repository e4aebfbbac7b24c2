#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_ANNOUNCEMENT_SCHEDULE_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_ANNOUNCEMENT_SCHEDULE_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "process/membership/announcement_schedule_settings.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Estimates when the announcements of one endpoint were sent. Announcements
/// carry no timestamp, and one that was delayed in a socket buffer or by a
/// network partition may arrive after its endpoint has died. The estimate
/// relies on the fixed sending schedule of one announcement per interval. The
/// schedule counts as established after several regular announcements and one
/// direct response. From then on the send time is the arrival time minus the
/// accumulated lateness; an announcement that is too late resets the schedule.
class announcement_schedule {
 public:
  explicit announcement_schedule(
      const announcement_schedule_settings& settings = {});

  /// Returns the estimated send time of an announcement received at `now`, or
  /// empty if it can't serve as liveness evidence.
  std::optional<steady_time> OnAnnouncement(steady_time now);
  /// Records the response to a request that was sent to the endpoint at
  /// `sent_at`.
  void OnDirectResponse(steady_time sent_at, steady_time now);
  /// Discards the schedule, for example after a process freeze or when the
  /// lease expires.
  void Reset();

 private:
  announcement_schedule_settings settings_;
  std::optional<steady_time> last_;
  std::uint32_t regular_ = 0;
  bool responded_ = false;
  std::chrono::microseconds lateness_{0};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_ANNOUNCEMENT_SCHEDULE_H_
