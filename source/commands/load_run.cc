#include "commands/load_run.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <thread>
#include <utility>

#include "commands/control_client.h"
#include "commands/fake_text.h"
#include "connection/endpoint_call.h"

namespace marjoramsill {
namespace {

using json = nlohmann::json;
using clock = std::chrono::steady_clock;

constexpr std::uint32_t kWordsPerTurn = 30;
// Responses that take longer than the deadline plus this time count as lost.
constexpr std::chrono::seconds kResponseGracePeriod{5};

double MillisecondsSince(clock::time_point start, clock::time_point end) {
  return std::chrono::duration<double, std::milli>(end - start).count();
}

}  // namespace

struct load_run::request {
  rank request_rank = rank::kStandard;
  std::string workspace;
  std::string chat;
  std::string key;
  std::string target;
  std::string body;
  std::uint64_t prompt_hash = 0;
  std::uint32_t tokens = 0;
  clock::time_point planned;
  std::optional<clock::time_point> first_output;
  int status = 0;
  std::string response;
};

load_run::load_run(load_plan plan)
    : plan_(std::move(plan)), random_(plan_.seed) {}

load_run::~load_run() = default;

rank load_run::PickRank() {
  const double draw = std::uniform_real_distribution<>(0, 1)(random_);
  if (draw < plan_.urgent_share) return rank::kUrgent;
  if (draw < plan_.urgent_share + plan_.background_share) {
    return rank::kBackground;
  }
  return rank::kStandard;
}

std::string load_run::PickWorkspace() {
  return plan_.workspaces.at(random_() % plan_.workspaces.size());
}

std::shared_ptr<load_run::request> load_run::MakeChat() {
  auto created = std::make_shared<request>();
  const auto chat = static_cast<std::uint32_t>(random_() % plan_.chats);
  const std::uint32_t turn = ++turns_[chat];
  std::string text;
  for (std::uint32_t i = 0; i < turn * kWordsPerTurn; ++i) {
    text += FakeWord(chat, i);
  }
  json messages = json::array();
  messages.push_back({{"role", "user"}, {"content", text}});
  json body;
  body["model"] = plan_.model;
  body["messages"] = messages;
  body["max_tokens"] = plan_.tokens;
  body["stream"] = true;
  created->request_rank = PickRank();
  // A chat belongs to one workspace.
  created->workspace = plan_.workspaces.at(chat % plan_.workspaces.size());
  created->chat =
      "chat-" + std::to_string(plan_.seed) + "-" + std::to_string(chat);
  created->target = "/v1/chat/completions";
  created->body = body.dump();
  created->prompt_hash = FakePromptHash(messages);
  created->tokens = plan_.tokens;
  return created;
}

std::shared_ptr<load_run::request> load_run::MakeBooking() {
  auto created = std::make_shared<request>();
  created->request_rank = PickRank();
  created->workspace = PickWorkspace();
  created->key =
      "booking-" + std::to_string(plan_.seed) + "-" + std::to_string(random_());
  created->target = "/v1/services/" + plan_.service + plan_.service_path;
  created->body = "{\"slot\":\"" + created->key + "\"}";
  return created;
}

load_result load_run::Run() {
  const auto start = clock::now();
  const auto count = static_cast<std::uint64_t>(
      plan_.rate * static_cast<double>(plan_.duration.count()));
  std::uniform_real_distribution<> unit(0, 1);
  for (std::uint64_t i = 0; i < count; ++i) {
    const auto planned =
        start +
        std::chrono::duration_cast<clock::duration>(
            std::chrono::duration<double>(static_cast<double>(i) / plan_.rate));
    std::this_thread::sleep_until(planned);
    const bool booking =
        !plan_.service.empty() && unit(random_) < plan_.booking_share;
    const auto created = booking ? MakeBooking() : MakeChat();
    created->planned = planned;
    const std::size_t vm = random_() % plan_.callers.size();
    Send(created, vm);
    if (booking && unit(random_) < plan_.repeat_share) {
      const auto repeated = std::make_shared<request>(*created);
      Send(repeated, (vm + 1) % plan_.callers.size());
    }
  }
  std::unique_lock lock(mutex_);
  all_finished_.wait(lock, [this] { return pending_requests_ == 0; });
  lock.unlock();
  if (!plan_.run_reports.empty()) CheckRuns();
  return result_;
}

void load_run::Send(const std::shared_ptr<request>& sent, std::size_t vm) {
  endpoint_call call;
  call.url = "http://" + plan_.callers.at(vm) + sent->target;
  call.body = sent->body;
  call.total_timeout = plan_.deadline + kResponseGracePeriod;
  call.fields = {{"Content-Type", "application/json"},
                 {"X-Workspace", sent->workspace},
                 {"X-Rank", std::string(RankName(sent->request_rank))},
                 {"X-Deadline-Ms", std::to_string(plan_.deadline.count())}};
  if (!sent->chat.empty()) call.fields.push_back({"X-Chat-Id", sent->chat});
  if (!sent->key.empty()) {
    call.fields.push_back({"Idempotency-Key", sent->key});
    // Prevents automatic resends on a reused connection, which could run the
    // call twice: repeats are sent by this class only.
    call.fresh_connection = true;
  }
  call.on_headers = [sent](int status, const http_field_list& /*fields*/) {
    sent->status = status;
  };
  call.on_data = [sent](const std::string& data) {
    if (!sent->first_output) sent->first_output = clock::now();
    sent->response += data;
  };
  call.on_end = [this, sent](endpoint_call_end end) {
    Finish(sent, end == endpoint_call_end::kComplete);
  };
  {
    const std::lock_guard lock(mutex_);
    ++pending_requests_;
    ++result_.ranks.at(static_cast<std::size_t>(sent->request_rank)).sent;
    if (!sent->key.empty()) {
      result_.bookings += all_not_run_.try_emplace(sent->key, true).second;
    }
  }
  client_.Start(std::move(call));
}

void load_run::Finish(const std::shared_ptr<request>& sent, bool is_complete) {
  const auto now = clock::now();
  const std::lock_guard lock(mutex_);
  load_rank_result& result =
      result_.ranks.at(static_cast<std::size_t>(sent->request_rank));
  const json problem = sent->status >= 400
                           ? json::parse(sent->response, nullptr, false)
                           : json();
  const bool not_run =
      problem.is_object() && problem.value("run", "") == "not run";
  if (!sent->key.empty() && !(is_complete && not_run)) {
    all_not_run_[sent->key] = false;
  }
  if (!is_complete) {
    ++result.lost;
  } else if (sent->status >= 400) {
    ++(not_run ? result.refused : result.failed);
  } else if (sent->key.empty()) {
    CheckChat(*sent, result);
  } else {
    CheckBooking(*sent, result);
  }
  if (is_complete && sent->status < 400) {
    if (sent->first_output) {
      result.first_output_ms.push_back(
          MillisecondsSince(sent->planned, *sent->first_output));
    }
    result.total_ms.push_back(MillisecondsSince(sent->planned, now));
  }
  if (--pending_requests_ == 0) all_finished_.notify_all();
}

void load_run::CheckChat(const request& sent, load_rank_result& result) {
  std::string text;
  bool done = false;
  std::istringstream lines(sent.response);
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with("data: ")) continue;
    const std::string data = line.substr(6);
    if (data == "[DONE]") {
      done = true;
      continue;
    }
    const json event = json::parse(data, nullptr, false);
    if (!event.is_object() || event.contains("error")) {
      ++result.failed;
      return;
    }
    const json& choices = event["choices"];
    if (choices.is_array() && !choices.empty()) {
      text += choices[0]["delta"].value("content", "");
    }
    if (event.contains("usage") && event["usage"].is_object()) {
      result_.prompt_tokens += event["usage"].value("prompt_tokens", 0);
      result_.cached_tokens +=
          event["usage"]["prompt_tokens_details"].value("cached_tokens", 0);
    }
  }
  std::string expected;
  for (std::uint32_t i = 0; i < sent.tokens; ++i) {
    expected += FakeWord(sent.prompt_hash, i);
  }
  if (done && text == expected) {
    ++result.complete;
  } else if (expected.starts_with(text)) {
    ++result_.truncated;
  } else {
    ++result_.crossed;
  }
}

void load_run::CheckBooking(const request& sent, load_rank_result& result) {
  const json response = json::parse(sent.response, nullptr, false);
  if (!response.is_object()) {
    ++result_.truncated;
  } else if (response.value("key", "") != sent.key) {
    ++result_.crossed;
  } else {
    ++result.complete;
  }
}

void load_run::CheckRuns() {
  std::map<std::string, std::uint32_t> runs;
  for (const std::string& address : plan_.run_reports) {
    control_request report_request;
    report_request.address = address;
    report_request.target = "/runs";
    const auto response = Fetch(report_request);
    const json report =
        response ? json::parse(response->body, nullptr, false) : json();
    if (!report.is_object()) {
      ++result_.missing_run_reports;
      continue;
    }
    for (const auto& [key, count] : report.items()) {
      runs[key] += count.get<std::uint32_t>();
    }
  }
  for (const auto& [key, not_run] : all_not_run_) {
    const auto found = runs.find(key);
    if (found == runs.end()) continue;
    ++result_.bookings_run;
    if (found->second > 1) ++result_.doubled;
    if (not_run) ++result_.ran_after_not_run;
  }
}

}  // namespace marjoramsill
