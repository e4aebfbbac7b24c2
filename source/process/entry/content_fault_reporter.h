#ifndef MARJORAMSILL_PROCESS_ENTRY_CONTENT_FAULT_REPORTER_H_
#define MARJORAMSILL_PROCESS_ENTRY_CONTENT_FAULT_REPORTER_H_

#include <cstdint>

#include "types/steady_time.h"

namespace marjoramsill {

class control_watcher;
class content_breaker;

/// Sends what this entry VM learns against prompt parts to all control
/// processes at once. A watch request, which also carries it, may be held for
/// most of a second before the next one is sent.
class content_fault_reporter {
 public:
  content_fault_reporter(control_watcher& members, const content_breaker& parts)
      : members_(members), parts_(parts) {}

  /// Sends the changes since the last call. Call on every tick.
  void Tick(steady_time now);

 private:
  control_watcher& members_;
  const content_breaker& parts_;
  std::uint64_t reported_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_CONTENT_FAULT_REPORTER_H_
