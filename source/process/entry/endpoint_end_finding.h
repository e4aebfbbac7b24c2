#ifndef MARJORAMSILL_PROCESS_ENTRY_ENDPOINT_END_FINDING_H_
#define MARJORAMSILL_PROCESS_ENTRY_ENDPOINT_END_FINDING_H_

namespace marjoramsill {

/// Whether the process of an endpoint has ended that closed a connection.
enum class endpoint_end_finding {
  kAlive,
  kEnded,
  /// It did not answer a connection attempt in time.
  kUnknown,
};

/// For log lines.
constexpr const char* EndFindingText(endpoint_end_finding finding) {
  switch (finding) {
    case endpoint_end_finding::kAlive:
      return "alive";
    case endpoint_end_finding::kEnded:
      return "ended";
    case endpoint_end_finding::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_ENDPOINT_END_FINDING_H_
