#include "fake_endpoint.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "connection/caller_connection.h"
#include "held_request.h"
#include "http_call.h"
#include "platform/field_names.h"
#include "process/daemon/steady_clock.h"
#include "run_ledger.h"
#include "soak_text.h"

namespace marjoramsill::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHeartbeatInterval{300};
constexpr milliseconds kHeartbeatTimeout{1'000};
/// Delay before the next control process is called after one did not answer.
constexpr milliseconds kHeartbeatRetry{20};
/// A leaving endpoint must receive no new requests later than kDrainBound after
/// its leave was acknowledged, and exits kExitDelay after the acknowledgement.
constexpr milliseconds kDrainBound{2'000};
constexpr milliseconds kExitDelay{2'600};
/// A prompt part that crashes the endpoint does so this long after the answer
/// has begun; it is back after kRestartDelay.
constexpr milliseconds kCrashDelay{15};
constexpr milliseconds kRestartDelay{1'500};
/// `contactMs` of the users' deployments.
constexpr milliseconds kContactTime{3'000};
constexpr int kUnavailable = 503;
constexpr int kMisdirected = 421;
constexpr int kInternalError = 500;

std::string ValueOf(const caller_message& message, const char* name) {
  const http_field* field = FindField(message.fields, name);
  return field == nullptr ? "" : field->value;
}

}  // namespace

fake_endpoint::fake_endpoint(asio::io_context& io,
                             fake_endpoint_settings settings,
                             run_ledger& ledger)
    : io_(io),
      settings_(std::move(settings)),
      ledger_(ledger),
      heartbeat_(io) {}

fake_endpoint::~fake_endpoint() = default;

void fake_endpoint::Start() {
  ++start_count_;
  incarnation_number_ = std::chrono::duration_cast<milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count();
  sequence_ = 0;
  is_leaving_ = false;
  says_that_it_leaves_ = false;
  leave_acknowledged_at_.reset();
  listener_.emplace(
      io_, caller_listener::settings{settings_.listen, 1'000},
      [this](const auto& caller, const caller_message& message) {
        OnRequest(caller, message);
      },
      [](parse_state, int) {}, SteadyNow);
  if (!listener_->Listen()) {
    ledger_.RecordViolation("fake endpoint cannot listen");
  }
  settings_.on_running(true);
  held_count_ = 0;
  ledger_.pool_load().Start(settings_.id);
  ledger_.pauses().StartEndpoint(settings_.id);
  SendHeartbeat();
}

void fake_endpoint::Crash() {
  ++start_count_;
  settings_.on_running(false);
  ledger_.pool_load().Stop(settings_.id);
  heartbeat_.cancel();
  listener_.reset();
}

void fake_endpoint::StartRenewed() {
  settings_.id += "n";
  Start();
}

void fake_endpoint::Leave() {
  if (!is_running() || is_leaving_) return;
  is_leaving_ = true;
  SendHeartbeat();
}

void fake_endpoint::SetColdFor(std::chrono::milliseconds duration) {
  cold_until_ = std::chrono::steady_clock::now() + duration;
  SendHeartbeat();
}

void fake_endpoint::ScheduleHeartbeat(milliseconds delay) {
  heartbeat_.expires_after(delay);
  heartbeat_.async_wait(
      [this, start_count = start_count_](std::error_code error) {
        if (!error && start_count == start_count_) SendHeartbeat();
      });
}

void fake_endpoint::SendHeartbeat() {
  const std::string pool = next_heartbeat_pool_.empty()
                               ? settings_.pool
                               : std::exchange(next_heartbeat_pool_, "");
  const auto cold_left = std::chrono::ceil<std::chrono::milliseconds>(
      cold_until_ - std::chrono::steady_clock::now());
  const auto cold_ms =
      static_cast<std::uint64_t>(std::max<std::int64_t>(cold_left.count(), 0));
  const nlohmann::json body{{"service", pool},
                            {"address", settings_.announced},
                            {"zone", settings_.domain},
                            {"version", settings_.software},
                            {"slots", settings_.slots},
                            {"state", is_leaving_ ? "draining" : "ready"},
                            {"coldRemainingMs", cold_ms},
                            {"sequence", ++sequence_},
                            {"born", incarnation_number_}};
  const socket_address control =
      next_control_ ? *std::exchange(next_control_, std::nullopt)
                    : settings_.control();
  Call(io_, control,
       RequestText("PUT", "/instances/" + settings_.id, {}, body.dump()),
       kHeartbeatTimeout,
       [this, start_count = start_count_,
        leaving = is_leaving_](const auto& response) {
         if (start_count != start_count_) return;
         const bool accepted = response && response->head.status == 200;
         if (leaving && accepted && !leave_acknowledged_at_) {
           leave_acknowledged_at_ = std::chrono::steady_clock::now();
         }
         if (leave_acknowledged_at_ &&
             std::chrono::steady_clock::now() - *leave_acknowledged_at_ >
                 kExitDelay) {
           Crash();
           return;
         }
         ScheduleHeartbeat(response ? kHeartbeatInterval : kHeartbeatRetry);
       });
}

http_field_list fake_endpoint::ResponseFields(
    const std::shared_ptr<caller_connection>& caller,
    const std::string& request) const {
  http_field_list fields = {
      {platform::kRequestId, request},
      {platform::kServerSignature, settings_.id + "." + request}};
  if (says_that_it_leaves_) {
    fields.push_back({platform::kLeaving, "1"});
    if (settings_.has_sound_link(caller->RemoteIp())) {
      ledger_.pauses().AnswerLeaving(caller->RemoteIp(), settings_.id,
                                     std::chrono::steady_clock::now());
    }
  }
  if (limit_) fields.push_back({platform::kLimit, std::to_string(*limit_)});
  if (brittle_refusals_) {
    fields.push_back({platform::kBrittle, std::to_string(*brittle_refusals_)});
  }
  if (settings_.reports_load) {
    fields.push_back({platform::kLoad, std::to_string(held_count_) + ",0," +
                                           std::to_string(settings_.slots)});
  }
  return fields;
}

void fake_endpoint::OnRequest(const std::shared_ptr<caller_connection>& caller,
                              const caller_message& message) {
  const std::string request = ValueOf(message, platform::kRequestId);
  if (ValueOf(message, platform::kEndpoint) != settings_.id) {
    caller->Respond(kMisdirected, {}, "");
    return;
  }
  const auto now = std::chrono::steady_clock::now();
  if (leave_acknowledged_at_ && now - *leave_acknowledged_at_ > kDrainBound) {
    ledger_.RecordViolation("request after an acknowledged leave: " + request);
  }
  arrivals_.push_back(now);
  ledger_.pauses().Arrive(caller->RemoteIp(), settings_.id, now);
  if (TurnsAway(caller, request)) return;
  if (RefusesForWantOfRoom(caller, request)) return;
  ledger_.RecordRun(request);
  const auto held = Hold(caller);
  if (fails_) {
    caller->Respond(kInternalError, ResponseFields(caller, request), "failed");
    return;
  }
  if (ledger_.HasCrashingPart(ValueOf(message, platform::kPromptParts))) {
    CrashInAnswer(caller, request);
    return;
  }
  if (ledger_.HasCrashingTarget(message.target)) {
    CrashBeforeAnswer();
    return;
  }
  if (message.target.starts_with("/look/") ||
      message.target.starts_with("/book/") ||
      message.target.starts_with("/ask/")) {
    SendResponse(caller, request, held);
    return;
  }
  const std::string last = ValueOf(message, platform::kLastEventId);
  const std::string resumed = ValueOf(message, platform::kResumedRequest);
  if (last.empty()) {
    ledger_.RecordStreamStart(request, settings_.software);
  } else {
    ledger_.RecordStreamResumed(resumed.empty() ? request : resumed,
                                settings_.software, settings_.id);
  }
  last_stream_ = request;
  if (is_unframed_) caller->SendWithoutChunks();
  caller->Begin(200, ResponseFields(caller, request), std::nullopt);
  SendEvents(caller, request, last.empty() ? 1 : std::stoi(last) + 1, held);
}

bool fake_endpoint::TurnsAway(const std::shared_ptr<caller_connection>& caller,
                              const std::string& request) {
  if (!retry_after_) return false;
  http_field_list fields = ResponseFields(caller, request);
  fields.push_back({platform::kNotRun, "1"});
  fields.push_back({"Retry-After", *retry_after_});
  if (settings_.has_sound_link(caller->RemoteIp())) {
    ledger_.pauses().TurnAway(caller->RemoteIp(), settings_.id,
                              std::strtod(retry_after_->c_str(), nullptr),
                              std::chrono::steady_clock::now());
  }
  caller->Respond(kUnavailable, fields, "");
  return true;
}

void fake_endpoint::SetBrittle(std::optional<int> refusals) {
  if (!brittle_refusals_) brittle_since_ = std::chrono::steady_clock::now();
  brittle_refusals_ = refusals;
}

bool fake_endpoint::IsFull() const {
  if (is_full_) return true;
  if (settings_.most_running > 0) {
    return held_count_ >= settings_.most_running;
  }
  const auto brittle_for = std::chrono::steady_clock::now() - brittle_since_;
  return brittle_refusals_ && brittle_for >= kContactTime &&
         held_count_ >= settings_.slots;
}

bool fake_endpoint::RefusesForWantOfRoom(
    const std::shared_ptr<caller_connection>& caller,
    const std::string& request) {
  if (!IsFull()) return false;
  http_field_list fields = ResponseFields(caller, request);
  fields.push_back({platform::kNotRun, "1"});
  caller->Respond(kUnavailable, fields, "");
  ++refusal_count_;
  if (!brittle_refusals_) return true;
  const auto now = std::chrono::steady_clock::now();
  refused_at_.push_back(now);
  std::erase_if(refused_at_, [now](const auto& at) {
    return now - at > std::chrono::seconds(1);
  });
  if (refused_at_.size() > static_cast<std::size_t>(*brittle_refusals_)) {
    refused_at_.clear();
    CrashSoon([this] { ++fall_count_; });
  }
  return true;
}

std::shared_ptr<held_request> fake_endpoint::Hold(
    const std::shared_ptr<caller_connection>& caller) {
  ++held_count_;
  ledger_.pool_load().Arrive(settings_.id, std::chrono::steady_clock::now());
  const auto held = std::make_shared<held_request>(
      [this, start_count = start_count_,
       lifetime = std::weak_ptr<bool>(lifetime_)] {
        if (lifetime.expired()) return;
        if (start_count != start_count_) return;
        --held_count_;
        ledger_.pool_load().Release(settings_.id);
      });
  if (finishes_dropped_) return held;
  caller->OnCallerDisconnected(
      [dropped = std::weak_ptr<held_request>(held)](disconnect_cause) {
        if (const auto request = dropped.lock()) request->Release();
      });
  return held;
}

void fake_endpoint::SendResponse(
    const std::shared_ptr<caller_connection>& caller,
    const std::string& request, const std::shared_ptr<held_request>& held) {
  auto timer =
      std::make_shared<asio::steady_timer>(io_, settings_.service_time);
  timer->async_wait([this, start_count = start_count_, caller, request, held,
                     timer](std::error_code) {
    if (start_count != start_count_ || held->is_released()) return;
    if (is_silent_) {
      SendResponse(caller, request, held);
      return;
    }
    held->Release();
    if (is_unframed_) {
      caller->SendWithoutChunks();
      caller->Begin(200, ResponseFields(caller, request), std::nullopt);
      caller->Write(PlainBody(request));
      caller->End();
      return;
    }
    caller->Respond(200, ResponseFields(caller, request), PlainBody(request));
  });
}

void fake_endpoint::CrashInAnswer(
    const std::shared_ptr<caller_connection>& caller,
    const std::string& request) {
  caller->Begin(200, ResponseFields(caller, request), std::nullopt);
  caller->Write("id: 1\nda");
  caller->Flush();
  CrashSoon([this] { ledger_.RecordPartCrash(); });
}

void fake_endpoint::CrashBeforeAnswer() {
  CrashSoon([this] { ledger_.RecordTargetCrash(); });
}

void fake_endpoint::CrashSoon(std::function<void()> on_crash) {
  auto timer = std::make_shared<asio::steady_timer>(io_, kCrashDelay);
  timer->async_wait([this, start_count = start_count_, timer,
                     on_crash = std::move(on_crash)](std::error_code) {
    if (start_count != start_count_) return;
    on_crash();
    Crash();
    timer->expires_after(kRestartDelay);
    timer->async_wait([this, timer](std::error_code) {
      if (is_running()) return;
      if (settings_.renews_id) {
        StartRenewed();
      } else {
        Start();
      }
    });
  });
}

milliseconds fake_endpoint::EventDelay(int number) {
  constexpr int kSilentOfTen = 3;
  const bool may_be_silent =
      settings_.silence.count() > 0 && number == kStreamEvents / 2;
  if (!may_be_silent || random_() % 10 >= kSilentOfTen) {
    return settings_.event_interval;
  }
  const auto half = settings_.silence / 2;
  return half +
         milliseconds(random_() % static_cast<std::uint64_t>(half.count()));
}

void fake_endpoint::SendEvents(const std::shared_ptr<caller_connection>& caller,
                               const std::string& request, int next,
                               const std::shared_ptr<held_request>& held) {
  if (held->is_released()) return;
  if (!is_silent_) {
    if (next > kStreamEvents) {
      held->Release();
      caller->End();
      return;
    }
    caller->Write(EventText(request, next));
    caller->Flush();
    ++next;
  }
  auto timer = std::make_shared<asio::steady_timer>(io_, EventDelay(next));
  timer->async_wait([this, start_count = start_count_, caller, request, next,
                     held, timer](std::error_code) {
    if (start_count == start_count_) SendEvents(caller, request, next, held);
  });
}

}  // namespace marjoramsill::soak
