#include "request/stream_relay.h"

#include <nlohmann/json.hpp>

namespace marjoramsill {
namespace {

using json = nlohmann::ordered_json;

constexpr std::string_view kDone = "[DONE]";

void AppendEvent(std::string_view data, std::string& output) {
  while (true) {
    const std::size_t end = data.find('\n');
    output.append("data: ").append(data.substr(0, end)).push_back('\n');
    if (end == std::string_view::npos) break;
    data.remove_prefix(end + 1);
  }
  output.push_back('\n');
}

/// What one chunk adds to the response.
struct chunk_summary {
  std::string text;
  /// Contains more than text of the first choice, which prevents a replay.
  bool has_non_text = false;
  bool well_formed = true;
};

void SummariseDelta(const json& delta, chunk_summary& summary) {
  for (const auto& [name, value] : delta.items()) {
    if (value.is_null() || name == "role") continue;
    if (name == "content" && value.is_string()) {
      summary.text += value.get_ref<const std::string&>();
    } else if (!value.empty()) {
      summary.has_non_text = true;
    }
  }
}

void SummariseChoice(const json& choice, chunk_summary& summary) {
  if (!choice.is_object()) {
    summary.well_formed = false;
    return;
  }
  const auto index = choice.find("index");
  if (index != choice.end() && *index != 0) summary.has_non_text = true;
  const auto reason = choice.find("finish_reason");
  if (reason != choice.end() && !reason->is_null()) summary.has_non_text = true;
  const auto delta = choice.find("delta");
  if (delta == choice.end()) return;
  if (!delta->is_object()) {
    summary.well_formed = false;
    return;
  }
  SummariseDelta(*delta, summary);
}

chunk_summary Summarise(const json& chunk) {
  chunk_summary summary;
  const auto choices = chunk.find("choices");
  if (choices == chunk.end() || !choices->is_array()) {
    summary.well_formed = false;
    return summary;
  }
  // A chunk without choices carries the usage counts after the text.
  if (choices->empty()) summary.has_non_text = true;
  for (const json& choice : *choices) SummariseChoice(choice, summary);
  return summary;
}

/// JSON object with the members that are the same in all chunks of a response.
std::string IdentityOf(const json& chunk) {
  json identity = json::object();
  for (const char* name : {"id", "created"}) {
    if (chunk.contains(name)) identity[name] = chunk[name];
  }
  return identity.dump();
}

void RemoveRole(json& chunk) {
  for (json& choice : chunk["choices"]) {
    if (choice.contains("delta")) choice["delta"].erase("role");
  }
}

}  // namespace

void stream_relay::BeginStream() {
  parser_ = sse_parser();
  events_ = 0;
  is_continuation_ = delivered_;
}

void stream_relay::ResumeStream() { parser_ = sse_parser(); }

result<void, relay_error> stream_relay::Feed(std::string_view bytes,
                                             std::string& output) {
  std::vector<std::string> events;
  const auto parsed = parser_.Feed(bytes, events);
  for (const std::string& data : events) {
    const auto handled = HandleEvent(data, output);
    if (!handled) return handled;
  }
  if (!parsed) return failure(relay_error::kBadEventStream);
  return success();
}

result<void, relay_error> stream_relay::HandleEvent(const std::string& data,
                                                    std::string& output) {
  if (done_) return failure(relay_error::kDataAfterDone);
  if (data == kDone) {
    // A stream that consists of [DONE] only is not a response.
    if (!delivered_) return failure(relay_error::kBadChunk);
    done_ = true;
    ++events_;
    AppendEvent(data, output);
    return success();
  }
  json chunk = json::parse(data, nullptr, false);
  if (!chunk.is_object()) return failure(relay_error::kBadChunk);
  if (chunk.contains("error")) return failure(relay_error::kEndpointError);
  const chunk_summary summary = Summarise(chunk);
  if (!summary.well_formed) return failure(relay_error::kBadChunk);
  ++events_;
  if (summary.has_non_text) can_replay_ = false;
  if (text_.size() + summary.text.size() > kMaxReplayBytes) {
    can_replay_ = false;
  } else {
    text_ += summary.text;
  }
  if (!is_continuation_) {
    if (!delivered_) identity_ = IdentityOf(chunk);
    AppendEvent(data, output);
  } else if (!summary.text.empty() || summary.has_non_text) {
    // The caller already has the role and the members id and created.
    RemoveRole(chunk);
    chunk.update(json::parse(identity_));
    AppendEvent(chunk.dump(), output);
  }
  delivered_ = true;
  return success();
}

}  // namespace marjoramsill
