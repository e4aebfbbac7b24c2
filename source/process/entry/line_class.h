#ifndef MARJORAMSILL_PROCESS_ENTRY_LINE_CLASS_H_
#define MARJORAMSILL_PROCESS_ENTRY_LINE_CLASS_H_

namespace marjoramsill {

/// Priority of a log line when the rate limit is reached.
enum class line_class {
  /// One of many similar lines. Such lines get only part of the rate limit, so
  /// that a flood of them does not displace other lines.
  kFrequent,
  /// Accepted until the rate limit for all lines is reached.
  kEssential,
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_LINE_CLASS_H_
