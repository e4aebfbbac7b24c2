#ifndef MARJORAMSILL_PROCESS_ENTRY_LINE_CLASS_H_
#define MARJORAMSILL_PROCESS_ENTRY_LINE_CLASS_H_

namespace marjoramsill {

/// How a log line fares when more lines come than are written.
enum class line_class {
  /// One of many that say the same: a flood of them takes only a part of the
  /// lines of a second.
  kFrequent,
  /// Written while there is any room.
  kKept,
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_LINE_CLASS_H_
