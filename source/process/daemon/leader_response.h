#ifndef MARJORAMSILL_PROCESS_DAEMON_LEADER_RESPONSE_H_
#define MARJORAMSILL_PROCESS_DAEMON_LEADER_RESPONSE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "types/ids.h"

namespace marjoramsill {

/// A command for the leader of a group: body of `claim` and `submit` messages.
struct leader_request {
  std::uint32_t group = 0;
  std::string command;
};

enum class leader_response_kind : std::uint8_t {
  /// `body` is the state machine's response.
  kCompleted,
  /// The receiver is not the leader; `leader` may name the VM that is. The
  /// command was not proposed.
  kNotLeader,
  /// It is unknown whether the command was or will be applied.
  kUnknown,
};

/// Response to a leader_request.
struct leader_response {
  leader_response_kind kind = leader_response_kind::kUnknown;
  vm_id leader;
  std::string body;
};

std::string EncodeLeaderRequest(const leader_request& request);
/// Return nullopt if the bytes are damaged or too long.
std::optional<leader_request> DecodeLeaderRequest(std::string_view bytes);
std::string EncodeLeaderResponse(const leader_response& response);
std::optional<leader_response> DecodeLeaderResponse(std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_LEADER_RESPONSE_H_
