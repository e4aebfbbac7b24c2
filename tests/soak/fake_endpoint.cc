#include "fake_endpoint.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "connection/caller_connection.h"
#include "http_call.h"
#include "platform/field_names.h"
#include "process/daemon/steady_clock.h"
#include "run_ledger.h"
#include "soak_text.h"

namespace marjoramsill::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHeartbeat{300};
constexpr milliseconds kHeartbeatTimeout{1'000};
constexpr milliseconds kWork{15};
constexpr milliseconds kEventGap{20};
/// How long an endpoint that leaves goes on after the acknowledgement. The
/// fleet must not send new requests after the first part of it.
constexpr milliseconds kDrainBound{2'000};
constexpr milliseconds kLinger{2'600};
constexpr int kSlots = 32;
constexpr int kMisdirected = 421;

std::string ValueOf(const caller_message& message, const char* name) {
  const http_field* field = FindField(message.fields, name);
  return field == nullptr ? "" : field->value;
}

}  // namespace

fake_endpoint::fake_endpoint(asio::io_context& io, fake_endpoint_settings with,
                             run_ledger& ledger)
    : io_(io), settings_(std::move(with)), ledger_(ledger), heartbeat_(io) {}

fake_endpoint::~fake_endpoint() = default;

void fake_endpoint::Start() {
  ++life_;
  born_ = std::chrono::duration_cast<milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
  sequence_ = 0;
  is_leaving_ = false;
  left_at_.reset();
  listener_.emplace(
      io_, caller_listener::settings{settings_.listen, 1'000},
      [this](const auto& caller, const caller_message& message) {
        OnRequest(caller, message);
      },
      [](parse_state, int) {}, SteadyNow);
  if (!listener_->Listen()) {
    ledger_.NoteViolation("fake endpoint cannot listen");
  }
  SendHeartbeat();
}

void fake_endpoint::Crash() {
  ++life_;
  heartbeat_.cancel();
  listener_.reset();
}

void fake_endpoint::Leave() {
  if (!is_running() || is_leaving_) return;
  is_leaving_ = true;
  SendHeartbeat();
}

void fake_endpoint::ScheduleHeartbeat() {
  heartbeat_.expires_after(kHeartbeat);
  heartbeat_.async_wait([this, life = life_](std::error_code error) {
    if (!error && life == life_) SendHeartbeat();
  });
}

void fake_endpoint::SendHeartbeat() {
  const nlohmann::json body{{"service", settings_.pool},
                            {"address", settings_.announced},
                            {"zone", settings_.domain},
                            {"version", "v1"},
                            {"slots", kSlots},
                            {"state", is_leaving_ ? "draining" : "ready"},
                            {"coldRemainingMs", 0},
                            {"sequence", ++sequence_},
                            {"born", born_}};
  Call(io_, settings_.control(),
       RequestText("PUT", "/instances/" + settings_.id, {}, body.dump()),
       kHeartbeatTimeout,
       [this, life = life_, leaving = is_leaving_](const auto& answer) {
         if (life != life_) return;
         const bool accepted = answer && answer->head.status == 200;
         if (leaving && accepted && !left_at_) {
           left_at_ = std::chrono::steady_clock::now();
         }
         if (left_at_ &&
             std::chrono::steady_clock::now() - *left_at_ > kLinger) {
           Crash();
           return;
         }
         ScheduleHeartbeat();
       });
}

http_field_list fake_endpoint::Fields(const std::string& request) const {
  return {{platform::kRequestId, request},
          {platform::kAnswerProof, settings_.id + "." + request}};
}

void fake_endpoint::OnRequest(const std::shared_ptr<caller_connection>& caller,
                              const caller_message& message) {
  const std::string request = ValueOf(message, platform::kRequestId);
  if (ValueOf(message, platform::kEndpoint) != settings_.id) {
    caller->Respond(kMisdirected, {}, "");
    return;
  }
  const auto now = std::chrono::steady_clock::now();
  if (left_at_ && now - *left_at_ > kDrainBound) {
    ledger_.NoteViolation("request after an acknowledged end: " + request);
  }
  ledger_.NoteRun(request);
  if (!message.target.starts_with("/chat/") &&
      !message.target.starts_with("/once/")) {
    Answer(caller, request);
    return;
  }
  const std::string last = ValueOf(message, platform::kLastEventId);
  caller->Begin(200, Fields(request), std::nullopt);
  Stream(caller, request, last.empty() ? 1 : std::stoi(last) + 1);
}

void fake_endpoint::Answer(const std::shared_ptr<caller_connection>& caller,
                           const std::string& request) {
  auto timer = std::make_shared<asio::steady_timer>(io_, kWork);
  timer->async_wait(
      [this, life = life_, caller, request, timer](std::error_code) {
        if (life != life_) return;
        caller->Respond(200, Fields(request), PlainBody(request));
      });
}

void fake_endpoint::Stream(const std::shared_ptr<caller_connection>& caller,
                           const std::string& request, int next) {
  if (next > kStreamEvents) {
    caller->End();
    return;
  }
  caller->Write(EventText(request, next));
  caller->Flush();
  auto timer = std::make_shared<asio::steady_timer>(io_, kEventGap);
  timer->async_wait(
      [this, life = life_, caller, request, next, timer](std::error_code) {
        if (life == life_) Stream(caller, request, next + 1);
      });
}

}  // namespace marjoramsill::soak
