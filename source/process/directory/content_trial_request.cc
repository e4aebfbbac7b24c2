#include "process/directory/content_trial_request.h"

#include <exception>
#include <msgpack.hpp>
#include <tuple>
#include <utility>

namespace marjoramsill {
namespace {

/// Content, clearances.
using trial_fields = std::tuple<std::uint64_t, std::uint32_t>;
/// Action, number, trials.
using request_fields =
    std::tuple<std::uint8_t, std::uint64_t, std::vector<trial_fields>>;

/// The request, its list and the trials in it.
constexpr std::size_t kMaxDepth = 4;

}  // namespace

std::string EncodeContentTrials(const content_trial_request& request) {
  std::vector<trial_fields> trials;
  trials.reserve(request.trials.size());
  for (const content_trial& each : request.trials) {
    trials.emplace_back(each.content.value(), each.clearances);
  }
  msgpack::sbuffer buffer;
  const auto action = static_cast<std::uint8_t>(request.action);
  msgpack::pack(buffer,
                request_fields(action, request.number, std::move(trials)));
  return std::string(buffer.data(), buffer.size());
}

std::optional<content_trial_request> DecodeContentTrials(
    std::string_view bytes) {
  request_fields fields;
  try {
    const msgpack::unpack_limit limit(kMaxContentTrials, 0, 0, 0, 0, kMaxDepth);
    msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit)
        .get()
        .convert(fields);
  } catch (const std::exception&) {
    // msgpack reports malformed bytes only by exceptions.
    return std::nullopt;
  }
  const auto& [action, number, trials] = fields;
  if (action > static_cast<std::uint8_t>(content_trial_action::kRelease)) {
    return std::nullopt;
  }
  content_trial_request request;
  request.action = static_cast<content_trial_action>(action);
  request.number = number;
  for (const auto& [content, clearances] : trials) {
    request.trials.push_back({content_digest(content), clearances});
  }
  return request;
}

}  // namespace marjoramsill
