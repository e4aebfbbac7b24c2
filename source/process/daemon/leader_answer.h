#ifndef MARJORAMSILL_PROCESS_DAEMON_LEADER_ANSWER_H_
#define MARJORAMSILL_PROCESS_DAEMON_LEADER_ANSWER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "types/ids.h"

namespace marjoramsill {

/// A command for the leader of a group: body of `claim` and `submit`.
struct leader_request {
  std::uint32_t group = 0;
  std::string command;
};

enum class leader_answer_kind : std::uint8_t {
  /// `body` is the state machine's answer.
  kAnswered,
  /// The receiver does not lead; `leader` may name the VM that does. The
  /// command was certainly not proposed.
  kNotLeader,
  /// Proposed, but whether it was applied is not known.
  kUnknown,
};

/// Answer to a leader_request.
struct leader_answer {
  leader_answer_kind kind = leader_answer_kind::kUnknown;
  vm_id leader;
  std::string body;
};

std::string EncodeLeaderRequest(const leader_request& request);
/// Nothing when the bytes are damaged or too long.
std::optional<leader_request> DecodeLeaderRequest(std::string_view bytes);
std::string EncodeLeaderAnswer(const leader_answer& answer);
std::optional<leader_answer> DecodeLeaderAnswer(std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_LEADER_ANSWER_H_
