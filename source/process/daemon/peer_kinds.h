#ifndef MARJORAMSILL_PROCESS_DAEMON_PEER_KINDS_H_
#define MARJORAMSILL_PROCESS_DAEMON_PEER_KINDS_H_

#include <string_view>

namespace marjoramsill {

/// Kinds of messages between VMs.
inline constexpr std::string_view kHeartbeatKind = "heartbeat";
inline constexpr std::string_view kRaftKind = "raft";
inline constexpr std::string_view kClaimKind = "claim";
inline constexpr std::string_view kSubmitKind = "submit";
inline constexpr std::string_view kPolicyChangesKind = "policy/changes";
inline constexpr std::string_view kPolicyFetchKind = "policy/fetch";
inline constexpr std::string_view kLimitsKind = "limits";
inline constexpr std::string_view kCountersKind = "counters";
/// Used by fleets with automatic discovery of members (docs/platform.md).
inline constexpr std::string_view kWatchKind = "watch";
inline constexpr std::string_view kDocumentKind = "document";
inline constexpr std::string_view kDirectoryPositionKind = "directory/position";
inline constexpr std::string_view kStreamsBegunKind = "stream/begun";
inline constexpr std::string_view kStreamOriginKind = "stream/origin";
inline constexpr std::string_view kContentFaultsKind = "part/faults";
inline constexpr std::string_view kContentTrialKind = "part/trial";
inline constexpr std::string_view kHeartbeatStatesKind = "heartbeat/states";
inline constexpr std::string_view kRelayListKind = "relay/list";
inline constexpr std::string_view kReadDocumentKind = "document/read";
inline constexpr std::string_view kSubmitDocumentKind = "document/submit";
inline constexpr std::string_view kEvacuationOrderKind = "evacuation/order";

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_PEER_KINDS_H_
