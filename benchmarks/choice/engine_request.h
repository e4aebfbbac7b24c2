#ifndef MARJORAMSILL_BENCHMARKS_CHOICE_ENGINE_REQUEST_H_
#define MARJORAMSILL_BENCHMARKS_CHOICE_ENGINE_REQUEST_H_

#include <cstdint>

namespace marjoramsill {

/// A request to an engine. Its prompt consists of a prefix shared by all chats
/// of a workspace, followed by the chat.
struct engine_request {
  std::uint64_t chat = 0;
  std::uint64_t workspace = 0;
  std::uint32_t workspace_tokens = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::uint32_t router = 0;
  std::uint64_t serial = 0;
  double arrived = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_BENCHMARKS_CHOICE_ENGINE_REQUEST_H_
