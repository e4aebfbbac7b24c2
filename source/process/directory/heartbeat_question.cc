#include "process/directory/heartbeat_question.h"

#include <cstddef>
#include <cstdint>
#include <exception>
#include <msgpack.hpp>
#include <tuple>

namespace marjoramsill {
namespace {

/// Id, incarnation, period in milliseconds.
using question_fields = std::tuple<std::string, std::uint64_t, std::uint32_t>;

/// The list and its questions.
constexpr std::size_t kMaxDepth = 3;

template <typename fields>
std::optional<fields> Unpack(std::string_view bytes) {
  try {
    const std::size_t most = bytes.size();
    const msgpack::unpack_limit limit(kMaxHeartbeatQuestions, 0, most, 0, 0,
                                      kMaxDepth);
    fields unpacked;
    msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit)
        .get()
        .convert(unpacked);
    return unpacked;
  } catch (const std::exception&) {
    // msgpack reports malformed bytes only by exceptions.
    return std::nullopt;
  }
}

template <typename fields>
std::string Pack(const fields& packed) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, packed);
  return std::string(buffer.data(), buffer.size());
}

}  // namespace

std::string EncodeHeartbeatQuestions(
    const std::vector<heartbeat_question>& questions) {
  std::vector<question_fields> fields;
  fields.reserve(questions.size());
  for (const heartbeat_question& each : questions) {
    fields.emplace_back(each.id.value(), each.incarnation.value(),
                        static_cast<std::uint32_t>(each.period.count()));
  }
  return Pack(fields);
}

std::optional<std::vector<heartbeat_question>> DecodeHeartbeatQuestions(
    std::string_view bytes) {
  const auto fields = Unpack<std::vector<question_fields>>(bytes);
  if (!fields) return std::nullopt;
  std::vector<heartbeat_question> questions;
  questions.reserve(fields->size());
  for (const auto& [id, incarnation, period] : *fields) {
    questions.push_back({endpoint_id(id), incarnation_number(incarnation),
                         std::chrono::milliseconds(period)});
  }
  return questions;
}

std::string EncodeHeartbeatStates(const std::vector<heartbeat_state>& states) {
  std::vector<std::uint32_t> fields;
  fields.reserve(states.size());
  for (const heartbeat_state each : states) {
    fields.push_back(static_cast<std::uint32_t>(each));
  }
  return Pack(fields);
}

std::optional<std::vector<heartbeat_state>> DecodeHeartbeatStates(
    std::string_view bytes) {
  const auto fields = Unpack<std::vector<std::uint32_t>>(bytes);
  if (!fields) return std::nullopt;
  std::vector<heartbeat_state> states;
  states.reserve(fields->size());
  for (const std::uint32_t each : *fields) {
    const bool is_known =
        each <= static_cast<std::uint32_t>(heartbeat_state::kStopped);
    states.push_back(is_known ? static_cast<heartbeat_state>(each)
                              : heartbeat_state::kUnknown);
  }
  return states;
}

}  // namespace marjoramsill
