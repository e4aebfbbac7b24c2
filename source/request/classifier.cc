#include "request/classifier.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "request/http_request.h"
#include "version/policy_snapshot.h"

namespace marjoramsill {
namespace {

using json = nlohmann::json;
using check = result<void, problem>;

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::size_t kMaxNameBytes = 255;
// Serialising a JSON document is recursive, so its depth is limited.
constexpr int kMaxJsonDepth = 32;
// Typical for English text. An estimate is sufficient: fair queueing later
// corrects it by the actual cost.
constexpr std::size_t kBytesPerToken = 4;
constexpr std::uint64_t kDefaultMaxTokens = 256;
constexpr std::uint64_t kMaxTokensBound = 1'000'000;
constexpr std::uint64_t kServiceCost = 100;
constexpr std::array<std::string_view, 6> kSingleHeaders = {
    "X-Workspace",   "X-Rank",       "X-Chat-Id",
    "X-Deadline-Ms", "X-Attempt-Id", "Idempotency-Key"};

problem Refusal(problem_kind kind, std::string detail) {
  return problem{kind, execution_status::kNotRun, std::move(detail), {}};
}

std::string Quoted(std::string_view text) {
  constexpr std::size_t kMaxShown = 60;
  return "\"" + std::string(text.substr(0, kMaxShown)) + "\"";
}

std::string_view HeaderValue(const http_request& request,
                             std::string_view name) {
  const http_field* field = FindField(request.fields, name);
  return field == nullptr ? std::string_view() : field->value;
}

/// Refuses repeated and overlong headers. Two processes could otherwise pick
/// different values of a repeated header.
check CheckSingleHeaders(const http_request& request) {
  for (const std::string_view name : kSingleHeaders) {
    if (CountFields(request.fields, name) > 1) {
      return failure(Refusal(problem_kind::kInvalidHeader,
                             std::string(name) + " stands twice"));
    }
    if (HeaderValue(request, name).size() > kMaxNameBytes) {
      return failure(Refusal(problem_kind::kInvalidHeader,
                             std::string(name) + " is longer than 255 bytes"));
    }
  }
  return success();
}

check ReadWorkspace(const http_request& request, const policy_snapshot& policy,
                    classified_request& out) {
  const std::string_view name = HeaderValue(request, "X-Workspace");
  if (name.empty()) {
    return failure(
        Refusal(problem_kind::kInvalidHeader, "X-Workspace is missing"));
  }
  out.workspace = workspace_id(std::string(name));
  const workspace_policy* found = policy.FindWorkspace(out.workspace);
  if (found == nullptr) {
    return failure(Refusal(problem_kind::kUnknownWorkspace,
                           "X-Workspace " + Quoted(name)));
  }
  out.limits = *found;
  return success();
}

check ReadRank(const http_request& request, classified_request& out) {
  const std::string_view text = HeaderValue(request, "X-Rank");
  out.rank = out.limits.default_rank();
  if (!text.empty()) {
    const auto parsed = ParseRank(text);
    if (!parsed) {
      return failure(
          Refusal(problem_kind::kInvalidHeader,
                  "X-Rank " + Quoted(text) +
                      ", allowed are urgent, standard and background"));
    }
    out.rank = *parsed;
  }
  if (!out.limits.Allows(out.rank)) {
    return failure(Refusal(problem_kind::kRankNotAllowed,
                           "rank " + std::string(RankName(out.rank))));
  }
  return success();
}

check ReadDeadline(const http_request& request, const policy_snapshot& policy,
                   classified_request& out) {
  using std::chrono::milliseconds;
  const auto& ranked = policy.Rank(out.rank);
  out.first_token_target = ranked.first_token_target;
  out.between_tokens_target = ranked.between_tokens_target;
  const auto maximum =
      std::chrono::duration_cast<milliseconds>(ranked.maximum_deadline);
  const std::string_view text = HeaderValue(request, "X-Deadline-Ms");
  if (text.empty()) {
    out.deadline =
        std::chrono::duration_cast<milliseconds>(ranked.default_deadline);
    return success();
  }
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value < 1 ||
      value > maximum.count()) {
    return failure(Refusal(problem_kind::kInvalidHeader,
                           "X-Deadline-Ms " + Quoted(text) +
                               ", allowed is 1 to " +
                               std::to_string(maximum.count())));
  }
  out.deadline = milliseconds(value);
  return success();
}

/// Parses the body. Returns a discarded value if it is not JSON or is nested
/// more than kMaxJsonDepth levels deep.
json ParseBody(const std::string& body) {
  bool too_deep = false;
  // The depth of a start event does not include the level that it opens.
  const auto check_depth = [&too_deep](int depth, json::parse_event_t event,
                                       json& /*parsed*/) {
    const bool is_start = event == json::parse_event_t::object_start ||
                          event == json::parse_event_t::array_start;
    too_deep = too_deep || (is_start && depth >= kMaxJsonDepth);
    return !too_deep;
  };
  json parsed = json::parse(body, check_depth, false);
  return too_deep ? json(json::value_t::discarded) : parsed;
}

check CheckMessages(const json& body) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return failure(Refusal(problem_kind::kMalformedRequest,
                           "messages: allowed is an array that is not empty"));
  }
  for (const json& message : *messages) {
    const bool well_formed = message.is_object() && message.contains("role") &&
                             message["role"].is_string();
    if (!well_formed) {
      return failure(
          Refusal(problem_kind::kMalformedRequest,
                  "messages: each one is an object with a string role"));
    }
  }
  return success();
}

check ReadMaxTokens(const json& body, std::uint64_t& max_tokens) {
  max_tokens = kDefaultMaxTokens;
  const auto found = body.find("max_tokens");
  if (found == body.end() || found->is_null()) return success();
  const bool in_range = found->is_number_unsigned() &&
                        found->get<std::uint64_t>() >= 1 &&
                        found->get<std::uint64_t>() <= kMaxTokensBound;
  if (!in_range) {
    return failure(Refusal(problem_kind::kMalformedRequest,
                           "max_tokens: allowed is 1 to 1000000"));
  }
  max_tokens = found->get<std::uint64_t>();
  return success();
}

check ReadChat(const http_request& request, classified_request& out) {
  if (request.method != "POST") {
    return failure(
        Refusal(problem_kind::kNotFound, "chat completions take POST"));
  }
  const json body = ParseBody(request.body);
  if (!body.is_object()) {
    return failure(Refusal(problem_kind::kMalformedRequest,
                           "the body is not a JSON object of depth up to 32"));
  }
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    return failure(
        Refusal(problem_kind::kMalformedRequest, "model: allowed is a string"));
  }
  if (auto checked = CheckMessages(body); !checked) return checked;
  std::uint64_t max_tokens = 0;
  if (auto checked = ReadMaxTokens(body, max_tokens); !checked) return checked;
  const auto stream = body.find("stream");
  if (stream != body.end() && !stream->is_boolean()) {
    return failure(Refusal(problem_kind::kMalformedRequest,
                           "stream: allowed is true or false"));
  }
  out.streamed = stream != body.end() && stream->get<bool>();
  out.pool = model_id(model->get<std::string>());
  out.prompt_tokens = token_count(request.body.size() / kBytesPerToken + 1);
  out.cost = cost_units(out.prompt_tokens.value() + max_tokens);
  out.placement_text =
      out.chat.empty()
          ? out.workspace.value() + "\n" + body["messages"].front().dump()
          : out.workspace.value() + "\n" + out.chat.value();
  out.target = kChatPath;
  return success();
}

check ReadService(const http_request& request, classified_request& out) {
  std::string_view rest = request.path;
  rest.remove_prefix(kServicePrefix.size());
  const std::size_t slash = rest.find('/');
  const std::string_view name = rest.substr(0, slash);
  out.is_service = true;
  out.pool = model_id(std::string(name));
  out.target = slash == std::string_view::npos ? "/" : rest.substr(slash);
  if (!request.query.empty()) out.target += "?" + request.query;
  out.cost = cost_units(kServiceCost + request.body.size() / kBytesPerToken);
  out.placement_text = out.workspace.value() + "\n" + out.chat.value();
  return success();
}

check CheckPool(const policy_snapshot& policy, classified_request& out) {
  const pool_policy* pool = policy.FindPool(out.pool);
  if (pool == nullptr || pool->is_service != out.is_service) {
    return failure(
        Refusal(problem_kind::kUnknownModel, Quoted(out.pool.value())));
  }
  if (out.is_service) {
    out.repeatable = pool->IsRepeatable(out.method, out.target);
  }
  out.claim_retention = pool->claim_retention;
  if (!out.repeatable && out.key.empty()) {
    return failure(Refusal(
        problem_kind::kMissingIdempotencyKey,
        out.method + " " + out.target + " of this service is not repeatable"));
  }
  return success();
}

}  // namespace

result<classified_request, problem> Classify(const http_request& request,
                                             const policy_snapshot& policy,
                                             const classifier_limits& limits) {
  classified_request out;
  if (request.body.size() > limits.max_body_bytes) {
    return failure(Refusal(problem_kind::kBodyTooLarge,
                           std::to_string(request.body.size()) +
                               " bytes, allowed are " +
                               std::to_string(limits.max_body_bytes)));
  }
  const bool is_chat = request.path == kChatPath;
  if (!is_chat && !request.path.starts_with(kServicePrefix)) {
    return failure(Refusal(problem_kind::kNotFound, Quoted(request.path)));
  }
  out.method = request.method;
  out.chat = chat_id(std::string(HeaderValue(request, "X-Chat-Id")));
  out.key =
      idempotency_key(std::string(HeaderValue(request, "Idempotency-Key")));
  check checked = CheckSingleHeaders(request);
  if (checked) checked = ReadWorkspace(request, policy, out);
  if (checked) checked = ReadRank(request, out);
  if (checked) checked = ReadDeadline(request, policy, out);
  if (checked) {
    checked = is_chat ? ReadChat(request, out) : ReadService(request, out);
  }
  if (checked) checked = CheckPool(policy, out);
  if (!checked) return failure(std::move(checked).assume_error());
  return out;
}

}  // namespace marjoramsill
