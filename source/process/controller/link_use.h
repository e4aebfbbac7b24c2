#ifndef MARJORAMSILL_PROCESS_CONTROLLER_LINK_USE_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_LINK_USE_H_

#include <cstddef>
#include <cstdint>

namespace marjoramsill {

/// What a response to a watcher is sent for, the most needed first.
enum class link_use : std::uint8_t {
  /// The document's version, ends of endpoints, other updates that watchers
  /// need at once, and the response that shows that the connection works.
  kUrgent,
  kRecords,
  kLoads,
  /// Content records that three ends show to be crashing.
  kUrgentContents,
  kContents,
};

inline constexpr std::size_t kLinkUses = 5;

/// For log lines and metrics.
constexpr const char* LinkUseText(link_use use) {
  switch (use) {
    case link_use::kUrgent:
      return "urgent";
    case link_use::kRecords:
      return "records";
    case link_use::kLoads:
      return "loads";
    case link_use::kUrgentContents:
      return "urgent_contents";
    case link_use::kContents:
      break;
  }
  return "contents";
}

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_LINK_USE_H_
