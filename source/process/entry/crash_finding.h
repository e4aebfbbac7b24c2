#ifndef MARJORAMSILL_PROCESS_ENTRY_CRASH_FINDING_H_
#define MARJORAMSILL_PROCESS_ENTRY_CRASH_FINDING_H_

namespace marjoramsill {

/// What decided whether an endpoint that refused connections had crashed.
enum class crash_finding {
  // Crashes.
  kNewStart,
  kEnded,
  kSilent,
  kHeartbeatsStopped,
  /// Refused connections for the whole time, and nothing contradicts it.
  kRefused,
  // No crashes.
  kHeartbeatsContinue,
  /// It accepted a connection, or another VM got a response.
  kReached,
  /// The links to several endpoints broke together, and nothing else shows a
  /// crash.
  kLinksBroke,
};

constexpr bool IsCrash(crash_finding finding) {
  return finding <= crash_finding::kRefused;
}

/// For log lines.
constexpr const char* CrashFindingText(crash_finding finding) {
  switch (finding) {
    case crash_finding::kNewStart:
      return "new_start";
    case crash_finding::kEnded:
      return "ended";
    case crash_finding::kSilent:
      return "silent";
    case crash_finding::kHeartbeatsStopped:
      return "heartbeats_stopped";
    case crash_finding::kRefused:
      return "refused";
    case crash_finding::kHeartbeatsContinue:
      return "heartbeats_continue";
    case crash_finding::kReached:
      return "reached";
    case crash_finding::kLinksBroke:
      break;
  }
  return "links_broke";
}

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_CRASH_FINDING_H_
