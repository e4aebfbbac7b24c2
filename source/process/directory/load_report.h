#ifndef MARJORAMSILL_PROCESS_DIRECTORY_LOAD_REPORT_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_LOAD_REPORT_H_

#include <cstdint>
#include <optional>

namespace marjoramsill {

/// Load that an endpoint reports in a response.
struct load_report {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /// Requests that the endpoint runs at the same time.
  std::uint32_t slots = 0;
  /// Present duration of work on the endpoint's host in percent of the usual
  /// one; nothing if the endpoint does not state it.
  std::optional<std::uint32_t> duration_percent = std::nullopt;

  friend bool operator==(const load_report&, const load_report&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_LOAD_REPORT_H_
