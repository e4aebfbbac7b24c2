#ifndef MARJORAMSILL_PROCESS_DIRECTORY_HEARTBEAT_QUESTION_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_HEARTBEAT_QUESTION_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "process/directory/heartbeat_state.h"
#include "types/ids.h"

namespace marjoramsill {

/// Asks a control process whether heartbeats of an endpoint arrived in the last
/// `period`.
struct heartbeat_question {
  endpoint_id id;
  incarnation_number incarnation;
  std::chrono::milliseconds period{0};

  friend bool operator==(const heartbeat_question&,
                         const heartbeat_question&) = default;
};

/// Largest number of questions in one message.
inline constexpr std::size_t kMaxHeartbeatQuestions = 64;

std::string EncodeHeartbeatQuestions(
    const std::vector<heartbeat_question>& questions);
/// Nothing if the bytes are malformed.
std::optional<std::vector<heartbeat_question>> DecodeHeartbeatQuestions(
    std::string_view bytes);
/// One state for each question, in the same order.
std::string EncodeHeartbeatStates(const std::vector<heartbeat_state>& states);
std::optional<std::vector<heartbeat_state>> DecodeHeartbeatStates(
    std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_HEARTBEAT_QUESTION_H_
