#include "process/daemon/endpoint_request.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>

#include "process/claims/stored_response.h"

namespace marjoramsill {
namespace {

// Hop-by-hop fields (RFC 9110 section 7.6.1) and fields that the entry VM sets
// itself. Accept-Encoding is dropped because a compressed stream could not be
// resumed.
constexpr std::array<std::string_view, 21> kNotForwarded = {
    "Host",
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Accept-Encoding",
    "Expect",
    "X-Request-Id",
    "X-Attempt-Id",
    "X-Deadline-Ms",
    "X-Priority",
    "X-Resume-Attempt",
    "X-Resume-Offset",
    "X-Endpoint-Load",
    "X-Endpoint-State",
    "Proxy-Authenticate",
    "Proxy-Authorization"};

bool IsForwarded(std::string_view name) {
  return std::none_of(
      kNotForwarded.begin(), kNotForwarded.end(),
      [name](std::string_view other) { return SameFieldName(name, other); });
}

/// Whether a Connection field lists `name`, which makes it a hop-by-hop field.
bool IsConnectionOption(const http_field_list& fields, std::string_view name) {
  constexpr std::string_view kSpace = " \t";
  for (const http_field& field : fields) {
    if (!SameFieldName(field.name, "Connection")) continue;
    std::string_view rest = field.value;
    while (!rest.empty()) {
      std::string_view option = rest.substr(0, rest.find(','));
      rest.remove_prefix(std::min(rest.size(), option.size() + 1));
      option.remove_prefix(
          std::min(option.size(), option.find_first_not_of(kSpace)));
      option = option.substr(0, option.find_last_not_of(kSpace) + 1);
      if (SameFieldName(option, name)) return true;
    }
  }
  return false;
}

std::chrono::milliseconds Remaining(steady_time deadline, steady_time now) {
  return std::max(
      std::chrono::milliseconds(1),
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now));
}

template <class Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number value{};
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return value;
}

}  // namespace

endpoint_call MakeEndpointCall(const http_request& request,
                               const classified_request& classified,
                               const start_attempt& attempt,
                               const request_id& id, const std::string& address,
                               steady_time now) {
  endpoint_call call;
  call.method = classified.method;
  call.url = "http://" + address + classified.target;
  call.body = request.body;
  call.fresh_connection = attempt.fresh_connection;
  call.total_timeout = Remaining(attempt.deadline, now);
  call.connect_timeout = std::min(call.connect_timeout, call.total_timeout);
  for (const http_field& field : request.fields) {
    if (IsForwarded(field.name) &&
        !IsConnectionOption(request.fields, field.name)) {
      call.fields.push_back(field);
    }
  }
  const int priority = static_cast<int>(classified.rank);
  call.fields.push_back({"X-Request-Id", id.value()});
  call.fields.push_back({"X-Attempt-Id", attempt.attempt.value()});
  call.fields.push_back(
      {"X-Deadline-Ms", std::to_string(call.total_timeout.count())});
  call.fields.push_back({"X-Priority", std::to_string(priority)});
  if (attempt.kind == attempt_kind::kResume) {
    call.fields.push_back({"X-Resume-Attempt", attempt.resume_attempt.value()});
    call.fields.push_back(
        {"X-Resume-Offset", std::to_string(attempt.resume_offset)});
  }
  if (attempt.kind == attempt_kind::kReplay) {
    call.body = ReplayBody(request.body, attempt.text_so_far);
  }
  return call;
}

response_head MakeResponseHead(int status, const http_field_list& fields,
                               const std::string& method) {
  response_head head;
  head.status = static_cast<std::uint16_t>(status);
  head.framing = body_framing::kUntilClose;
  for (const http_field& field : fields) {
    head.headers.emplace_back(field.name, field.value);
  }
  if (const auto* echoed = FindField(fields, "X-Attempt-Id")) {
    head.echoed = attempt_id(echoed->value);
  }
  if (const auto* offset = FindField(fields, "X-Resume-Offset")) {
    head.resume_offset = ParseNumber<std::uint64_t>(offset->value);
  }
  const auto* length = FindField(fields, "Content-Length");
  const bool has_no_body = method == "HEAD" || status == 204 || status == 304;
  if (has_no_body) {
    head.framing = body_framing::kLength;
  } else if (FindField(fields, "Transfer-Encoding") != nullptr) {
    head.framing = body_framing::kChunked;
  } else if (length != nullptr) {
    const auto bytes = ParseNumber<std::uint64_t>(length->value);
    if (bytes) {
      head.framing = body_framing::kLength;
      head.content_length = *bytes;
    }
  }
  return head;
}

http_field_list CallerFields(const http_fields& headers) {
  http_field_list fields;
  for (const auto& [name, value] : headers) {
    if (IsForwarded(name)) fields.push_back({name, value});
  }
  return fields;
}

std::string ReplayBody(const std::string& body, const std::string& text) {
  auto request = nlohmann::ordered_json::parse(body, nullptr, false);
  if (!request.is_object()) return body;
  request["messages"].push_back({{"role", "assistant"}, {"content", text}});
  request["continue_final_message"] = true;
  request["add_generation_prompt"] = false;
  return request.dump(-1, ' ', false,
                      nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace marjoramsill
