#include "soak_load.h"

#include <asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>
#include <vector>

#include "platform/field_names.h"
#include "soak_text.h"

namespace marjoramsill::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCallerTimeout{3'000};
/// Time limit of a request with all its repetitions.
constexpr milliseconds kCallerDeadline{2'500};
constexpr milliseconds kOperatorTimeout{1'000};
constexpr milliseconds kResubmitDelay{100};
constexpr int kServiceUnavailable = 503;
constexpr int kNotFound = 404;

nlohmann::json Route(const std::string& prefix, const std::string& kind,
                     int attempts, bool resumable) {
  return {{"name", prefix},          {"host", "soak.example"},
          {"pathPrefix", prefix},    {"routeType", kind},
          {"timeoutMs", 2500},       {"targetLatencyMs", 200},
          {"priority", 1},           {"service", "svc"},
          {"maxAttempts", attempts}, {"resumable", resumable},
          {"gapAimMs", 100}};
}

}  // namespace

soak_load::soak_load(asio::io_context& io, soak_fleet& fleet,
                     run_ledger& ledger, std::uint64_t seed)
    : io_(io), fleet_(fleet), ledger_(ledger), random_(seed) {}

std::string soak_load::Document(std::uint64_t version,
                                std::optional<double> cold_per_s) {
  nlohmann::json document{{"version", version}};
  document["routes"] = {Route("/book/", "non_idempotent", 1, false),
                        Route("/look/", "idempotent", 2, false),
                        Route("/chat/", "streaming", 3, true),
                        Route("/once/", "streaming", 1, false),
                        Route("/prompt/", "streaming", 3, false),
                        Route("/resumed-prompt/", "streaming", 3, true),
                        Route("/ask/", "idempotent", 3, false)};
  for (std::size_t i = 4; i < 7; ++i) {
    document["routes"][i]["sticky"] = true;
  }
  nlohmann::json long_chat = Route("/long-chat/", "streaming", 3, true);
  long_chat["timeoutMs"] = 6'000;
  document["routes"].push_back(long_chat);
  nlohmann::json raw_long = Route("/raw-long/", "streaming", 1, false);
  raw_long["timeoutMs"] = 15'000;
  for (nlohmann::json route :
       {raw_long, Route("/raw-ask/", "idempotent", 1, false),
        Route("/raw-book/", "non_idempotent", 1, false),
        Route("/raw-stream/", "streaming", 1, false),
        Route("/raw-resumable/", "streaming", 1, true),
        Route("/raw-look/", "idempotent", 2, false),
        Route("/raw-chat/", "streaming", 3, true)}) {
    route["service"] = "raw";
    document["routes"].push_back(route);
  }
  document["services"] = {{{"name", "svc"}, {"maxConns", 500}},
                          {{"name", "raw"}, {"maxConns", 500}}};
  if (cold_per_s) {
    document["services"][0]["coldStartS"] = 20;
    document["services"][0]["coldPerS"] = *cold_per_s;
  }
  return document.dump();
}

void soak_load::SendRequest() {
  const std::vector<soak_node*> entries = fleet_.EntryNodes();
  const soak_node& entry = *entries[random_() % entries.size()];
  static constexpr const char* kPaths[] = {"/book/", "/look/", "/chat/",
                                           "/once/"};
  const std::size_t kind = random_() % 4;
  const bool is_stream = kind >= 2;
  const bool is_once = kind == 0 || kind == 3;
  const std::string request =
      (is_once ? kOncePrefix : "free-") + std::to_string(++next_request_);
  ++sent_;
  Call(io_, entry.callers,
       RequestText(
           kind == 1 ? "GET" : "POST", kPaths[kind] + request,
           {{platform::kRequestId, request}, {platform::kRemainingMs, "2500"}},
           kind == 1 ? "" : "body of " + request),
       kCallerTimeout,
       [this, request, is_stream, is_once,
        deadline = std::chrono::steady_clock::now() +
                   kCallerDeadline](const auto& response) {
         if (!response && is_stream && !is_once) {
           ResumeStream(request, deadline);
         }
         CheckResponse(request, is_stream, is_once, response);
       });
}

void soak_load::SendPrompt() {
  const std::vector<soak_node*> entries = fleet_.EntryNodes();
  const std::string number = std::to_string(++next_prompt_);
  const bool is_crashing = random_() % 12 == 0;
  const std::string parts = "a0:400," +
                            std::string(is_crashing ? kCrashingPart : "b") +
                            (is_crashing ? "" : std::to_string(random_() % 6)) +
                            ":300," + number + "e:50";
  Call(io_, entries[random_() % entries.size()]->callers,
       RequestText("POST", "/ask/p" + number,
                   {{platform::kRequestId, "prompt-" + number},
                    {platform::kRemainingMs, "2500"},
                    {platform::kModel, "m"},
                    {platform::kTokens, "900,10"},
                    {platform::kPromptParts, parts}},
                   "body"),
       kCallerTimeout, [](const auto& /*response*/) {});
}

void soak_load::SendCrashing() {
  const std::vector<soak_node*> entries = fleet_.EntryNodes();
  const std::string request = "crashing-" + std::to_string(++next_crashing_);
  Call(io_, entries[random_() % entries.size()]->callers,
       RequestText(
           "GET", kCrashingTarget,
           {{platform::kRequestId, request}, {platform::kRemainingMs, "2500"}},
           ""),
       kCallerTimeout, [](const auto& /*response*/) {});
}

void soak_load::SendOddEntry() {
  const auto& endpoint =
      fleet_.endpoints()[random_() % fleet_.endpoints().size()];
  nlohmann::json body{{"service", "svc"},
                      {"address", endpoint->announced()},
                      {"zone", "d0"},
                      {"slots", 32},
                      {"state", "ready"},
                      {"sequence", 1'000'000},
                      {"born", 1'700'000'000'000}};
  static const std::vector<std::pair<const char*, nlohmann::json>> kOdd = {
      {"born", std::uint64_t{1} << 63},
      {"born", 9'000'000'000'000},
      {"slots", std::uint64_t{1} << 32},
      {"address", "127.0.2.1:65536"},
      {"zone", std::string(100'000, 'z')},
      {"service", "svc\nevent=stopped"},
      {"state", "resting"}};
  const auto& [field, value] = kOdd[random_() % kOdd.size()];
  body[field] = value;
  const std::string id = random_() % 2 == 0 ? "odd" : endpoint->id();
  Call(io_, RandomControl(),
       RequestText("PUT", "/instances/" + id, {}, body.dump()),
       kOperatorTimeout, [this](const auto& response) {
         if (response && response->head.status < 400) {
           ledger_.RecordViolation("odd entry accepted");
         }
       });
}

/// Takes a broken stream up again, within the deadline of its caller. The
/// caller may have more events than it says; the endpoints check which version
/// goes on.
void soak_load::ResumeStream(const std::string& stream, time_point deadline) {
  const auto left = std::chrono::duration_cast<milliseconds>(
      deadline - std::chrono::steady_clock::now());
  if (left <= milliseconds(0)) return;
  const std::vector<soak_node*> entries = fleet_.EntryNodes();
  const std::string request = "again-" + stream;
  Call(io_, entries[random_() % entries.size()]->callers,
       RequestText("POST", "/chat/" + request,
                   {{platform::kRequestId, request},
                    {platform::kRemainingMs, std::to_string(left.count())},
                    {platform::kResumedRequest, stream},
                    {platform::kLastEventId, "1"}},
                   "body of " + request),
       kCallerTimeout, [this](const auto& response) {
         if (response && response->head.status == 200) ++resumed_;
       });
}

void soak_load::CheckResponse(const std::string& request, bool is_stream,
                              bool is_once,
                              const std::optional<http_response>& response) {
  if (!response) return;
  const int status = response->head.status;
  if (is_once && status == kServiceUnavailable) ledger_.RecordRefusal(request);
  if (status < 200 || status >= 300) return;
  const std::string expected =
      is_stream ? StreamBody(request) : PlainBody(request);
  if (response->body != expected) {
    ledger_.RecordViolation("wrong or truncated response to " + request);
    return;
  }
  const http_field* proof =
      FindField(response->head.fields, platform::kServerSignature);
  if (proof == nullptr || !proof->value.ends_with("." + request)) {
    ledger_.RecordViolation("response without the endpoint's proof: " +
                            request);
  }
  ++served_;
}

socket_address soak_load::RandomControl() {
  const std::vector<soak_node*> controls = fleet_.ControlNodes();
  return controls[random_() % controls.size()]->control;
}

void soak_load::SubmitDocument() {
  if (is_submitting_) return;
  is_submitting_ = true;
  Submit(next_version_++);
}

void soak_load::Submit(std::uint64_t version) {
  Call(io_, RandomControl(),
       RequestText("PUT", "/config", {},
                   Document(version, fleet_.settings().cold_per_s)),
       kOperatorTimeout, [this, version](const auto& response) {
         if (response && response->head.status == 200) {
           acknowledged_ = std::max(acknowledged_, version);
           is_submitting_ = false;
           return;
         }
         if (response && response->head.status < 500) {
           ledger_.RecordViolation("valid document refused: version " +
                                   std::to_string(version));
         }
         auto timer = std::make_shared<asio::steady_timer>(io_, kResubmitDelay);
         timer->async_wait(
             [this, version, timer](std::error_code) { Submit(version); });
       });
}

void soak_load::ReadDocument() {
  Call(io_, RandomControl(), RequestText("GET", "/config", {}, ""),
       kOperatorTimeout,
       [this, known_version = acknowledged_](const auto& response) {
         if (!response || response->head.status >= 500) return;
         // The first document may be in progress still.
         const bool has_none = response->head.status == kNotFound;
         if (has_none && known_version == 0) return;
         const auto read =
             nlohmann::json::parse(response->body, nullptr, false);
         const std::uint64_t version =
             read.is_object() ? read.value("version", std::uint64_t{0}) : 0;
         if (version < known_version) {
           ledger_.RecordViolation("read version " + std::to_string(version) +
                                   " after " + std::to_string(known_version) +
                                   " was acknowledged");
         } else if (response->body !=
                    Document(version, fleet_.settings().cold_per_s)) {
           ledger_.RecordViolation("document read is not the one submitted");
         }
       });
}

}  // namespace marjoramsill::soak
