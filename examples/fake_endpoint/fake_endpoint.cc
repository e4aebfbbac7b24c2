#include "fake_endpoint/fake_endpoint.h"

#include <algorithm>
#include <asio/post.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "commands/fake_text.h"
#include "connection/endpoint_call.h"
#include "connection/http_responder.h"

namespace marjoramsill {
namespace {

constexpr std::chrono::seconds kAnnounceInterval{1};
// The reported load is sampled this often, since real engines also report
// stale load.
constexpr std::chrono::milliseconds kLoadInterval{250};
// Time to process one prompt word that is not cached.
constexpr std::chrono::microseconds kPrefillPerWord{200};
constexpr std::chrono::milliseconds kServiceTime{10};

std::string FieldValue(const http_request& request, std::string_view name) {
  const http_field* field = FindField(request.fields, name);
  return field == nullptr ? std::string() : field->value;
}

std::uint64_t ToNumber(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

}  // namespace

struct fake_endpoint::stream {
  stream(asio::io_context& io, fake_completion completion)
      : plan(completion), timer(io) {}

  fake_completion plan;
  asio::steady_timer timer;
  std::shared_ptr<http_responder> responder;
  std::string attempt;
  std::string model;
  std::uint32_t next_word = 0;
  std::uint32_t stall_at = 0;
  std::uint32_t cached_words = 0;
  bool streamed = false;
  bool ended = false;
};

fake_endpoint::fake_endpoint(asio::io_context& io, fake_settings settings)
    : io_(io),
      settings_(std::move(settings)),
      incarnation_(static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count())),
      server_(io, http_server_settings{.listen = settings_.listen},
              [this](const http_request& request,
                     const std::shared_ptr<http_responder>& responder) {
                Handle(request, responder);
              }),
      announce_timer_(io),
      load_timer_(io),
      cache_(settings_.cached_chats) {}

fake_endpoint::~fake_endpoint() = default;

result<void, listen_error> fake_endpoint::Start() {
  auto listening = server_.Listen();
  if (!listening) return listening;
  SampleLoad();
  Announce();
  return success();
}

void fake_endpoint::Leave() {
  leaving_ = true;
  Announce();
}

void fake_endpoint::Handle(const http_request& request,
                           const std::shared_ptr<http_responder>& responder) {
  if (request.path == "/health") {
    HandleHealth(responder);
  } else if (request.path == "/runs") {
    HandleRuns(responder);
  } else if (request.path == "/v1/orders") {
    HandleOrder(request, responder);
  } else if (request.path == "/v1/chat/completions") {
    HandleChat(request, responder);
  } else {
    HandleService(request, responder);
  }
}

void fake_endpoint::HandleHealth(
    const std::shared_ptr<http_responder>& responder) {
  responder->Respond(200, ResponseFields(""), "{}");
}

void fake_endpoint::HandleRuns(
    const std::shared_ptr<http_responder>& responder) {
  responder->Respond(200, {{"Content-Type", "application/json"}},
                     nlohmann::json(runs_).dump());
}

void fake_endpoint::HandleOrder(
    const http_request& request,
    const std::shared_ptr<http_responder>& responder) {
  const auto order = nlohmann::json::parse(request.body, nullptr, false);
  const std::uint64_t fencing =
      order.is_object() ? order.value("fencing", std::uint64_t{0}) : 0;
  if (settings_.checks_fencing && fencing < highest_fencing_) {
    responder->Respond(409, {}, "{\"error\":\"old fencing number\"}");
    return;
  }
  highest_fencing_ = std::max(highest_fencing_, fencing);
  responder->Respond(200, {}, "{}");
}

void fake_endpoint::HandleService(
    const http_request& request,
    const std::shared_ptr<http_responder>& responder) {
  const std::string key = FieldValue(request, "Idempotency-Key");
  const std::string attempt = FieldValue(request, "X-Attempt-Id");
  if (!key.empty()) ++runs_[key];
  ++running_;
  auto timer = std::make_shared<asio::steady_timer>(io_);
  timer->expires_after(kServiceTime);
  timer->async_wait([this, timer, responder, attempt, key,
                     path = request.path](std::error_code /*error*/) {
    --running_;
    nlohmann::ordered_json body;
    body["endpoint"] = settings_.id;
    body["path"] = path;
    body["key"] = key;
    responder->Respond(200, ResponseFields(attempt), body.dump());
  });
}

void fake_endpoint::HandleChat(
    const http_request& request,
    const std::shared_ptr<http_responder>& responder) {
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    responder->Respond(400, {}, "{\"error\":\"not a JSON object\"}");
    return;
  }
  const std::string resumed_attempt = FieldValue(request, "X-Resume-Attempt");
  auto current = std::make_shared<stream>(io_, PlanCompletion(body));
  if (!resumed_attempt.empty()) {
    const auto found = streams_.find(resumed_attempt);
    if (found == streams_.end()) {
      responder->Respond(404,
                         ResponseFields(FieldValue(request, "X-Attempt-Id")),
                         "{\"error\":\"no such stream\"}");
      return;
    }
    current->plan = found->second->plan;
    current->next_word = static_cast<std::uint32_t>(
        ToNumber(FieldValue(request, "X-Resume-Offset")));
  }
  current->responder = responder;
  current->attempt = FieldValue(request, "X-Attempt-Id");
  current->model = body.value("model", "");
  current->streamed = body.value("stream", false);
  ++streams_started_;
  if (settings_.stall_every != 0 && resumed_attempt.empty() &&
      streams_started_ % settings_.stall_every == 0) {
    current->stall_at = std::max(1U, current->plan.words / 2);
  }
  ++running_;
  streams_[current->attempt] = current;
  responder->OnDisconnect(
      [this, current] { asio::post(io_, [this, current] { End(current); }); });
  const std::uint32_t cached =
      cache_.Use(FieldValue(request, "X-Chat-Id"), current->plan.prompt_words);
  current->cached_words = cached;
  const auto prefill = kPrefillPerWord * (current->plan.prompt_words - cached);
  BeginResponse(
      current,
      settings_.first_token +
          std::chrono::duration_cast<std::chrono::milliseconds>(prefill));
}

void fake_endpoint::BeginResponse(const std::shared_ptr<stream>& current,
                                  std::chrono::milliseconds delay) {
  current->timer.expires_after(delay);
  current->timer.async_wait([this, current](std::error_code error) {
    if (error || current->ended) return;
    if (!current->streamed) {
      SendCompleteResponse(current);
      return;
    }
    http_field_list fields = ResponseFields(current->attempt);
    fields.push_back({"Content-Type", "text/event-stream"});
    if (current->next_word > 0) {
      fields.push_back({"X-Resume-Offset", std::to_string(current->next_word)});
    }
    current->responder->Begin(200, fields);
    SendWord(current);
  });
}

void fake_endpoint::SendWord(const std::shared_ptr<stream>& current) {
  if (current->ended) return;
  if (current->stall_at != 0 && current->next_word >= current->stall_at) {
    End(current);
    return;
  }
  if (current->next_word >= current->plan.words) {
    current->responder->Write("data: [DONE]\n\n");
    current->responder->End();
    End(current);
    return;
  }
  nlohmann::ordered_json chunk;
  chunk["id"] = "cmpl-" + current->attempt;
  chunk["object"] = "chat.completion.chunk";
  chunk["created"] = 0;
  chunk["model"] = current->model;
  const std::uint32_t position = current->plan.first_word + current->next_word;
  chunk["choices"] = {
      {{"index", 0},
       {"delta", {{"content", FakeWord(current->plan.prompt_hash, position)}}},
       {"finish_reason", nullptr}}};
  if (current->next_word + 1 == current->plan.words) {
    chunk["usage"] = {
        {"prompt_tokens", current->plan.prompt_words},
        {"prompt_tokens_details", {{"cached_tokens", current->cached_words}}}};
  }
  current->responder->Write("data: " + chunk.dump() + "\n\n");
  ++current->next_word;
  current->timer.expires_after(settings_.between_tokens);
  current->timer.async_wait([this, current](std::error_code error) {
    if (!error) SendWord(current);
  });
}

void fake_endpoint::SendCompleteResponse(
    const std::shared_ptr<stream>& current) {
  const auto generation =
      settings_.between_tokens * static_cast<int>(current->plan.words);
  current->timer.expires_after(generation);
  current->timer.async_wait([this, current](std::error_code error) {
    if (error || current->ended) return;
    std::string text;
    for (std::uint32_t i = 0; i < current->plan.words; ++i) {
      text += FakeWord(current->plan.prompt_hash, current->plan.first_word + i);
    }
    nlohmann::ordered_json body;
    body["id"] = "cmpl-" + current->attempt;
    body["object"] = "chat.completion";
    body["created"] = 0;
    body["model"] = current->model;
    body["choices"] = {{{"index", 0},
                        {"message", {{"role", "assistant"}, {"content", text}}},
                        {"finish_reason", "stop"}}};
    http_field_list fields = ResponseFields(current->attempt);
    fields.push_back({"Content-Type", "application/json"});
    current->responder->Respond(200, fields, body.dump());
    End(current);
  });
}

void fake_endpoint::End(const std::shared_ptr<stream>& current) {
  if (current->ended) return;
  current->ended = true;
  current->timer.cancel();
  --running_;
  // Bounds the memory by removing the stream with the lowest attempt id.
  if (streams_.size() > settings_.cached_chats) {
    streams_.erase(streams_.begin());
  }
}

http_field_list fake_endpoint::ResponseFields(
    const std::string& attempt) const {
  const std::size_t reported_in_service =
      std::min<std::size_t>(reported_running_, settings_.capacity);
  http_field_list fields = {
      {"X-Endpoint-Load",
       "running=" + std::to_string(reported_in_service) + " waiting=" +
           std::to_string(reported_running_ - reported_in_service)},
      {"X-Endpoint-State", leaving_ ? "leaving" : "active"}};
  if (!attempt.empty()) fields.push_back({"X-Attempt-Id", attempt});
  return fields;
}

void fake_endpoint::SampleLoad() {
  reported_running_ = running_;
  load_timer_.expires_after(kLoadInterval);
  load_timer_.async_wait([this](std::error_code error) {
    if (!error) SampleLoad();
  });
}

void fake_endpoint::Announce() {
  nlohmann::ordered_json body;
  body["id"] = settings_.id;
  body["incarnation"] = incarnation_;
  body["address"] = FormatSocketAddress(settings_.listen);
  body["failure_domain"] = settings_.failure_domain;
  body["state"] = leaving_ ? "leaving" : "active";
  body["serves"] = settings_.serves;
  body["capacity"] = settings_.capacity;
  const std::size_t reported_in_service =
      std::min<std::size_t>(reported_running_, settings_.capacity);
  body["load"] = {{"running", reported_in_service},
                  {"waiting", reported_running_ - reported_in_service}};
  if (!settings_.announce.empty()) {
    const socket_address& target =
        settings_.announce[next_announce_ % settings_.announce.size()];
    endpoint_call call;
    call.url =
        "http://" + FormatSocketAddress(target) + "/v1/endpoints/announce";
    call.fields = {{"Content-Type", "application/json"}};
    call.body = body.dump();
    call.total_timeout = std::chrono::milliseconds(800);
    call.on_end = [this](endpoint_call_end end) {
      // After a failure, the next announcement goes to another entry VM.
      if (end != endpoint_call_end::kComplete) {
        asio::post(io_, [this] { ++next_announce_; });
      }
    };
    client_.Start(std::move(call));
  }
  announce_timer_.expires_after(kAnnounceInterval);
  announce_timer_.async_wait([this](std::error_code error) {
    if (!error) Announce();
  });
}

}  // namespace marjoramsill
