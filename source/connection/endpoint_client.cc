#include "connection/endpoint_client.h"

#include <curl/curl.h>

#include <atomic>
#include <mutex>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "connection/endpoint_call.h"

namespace marjoramsill {
namespace {

constexpr int kPollTimeoutMs = 1'000;
// Maximum size of the header lines of a response; a larger one fails the call.
constexpr std::size_t kMaxHeaderBytes = 64UL * 1024;

/// One call in progress; used on the client's thread only.
struct transfer {
  endpoint_client::call_id id = 0;
  endpoint_call call;
  CURL* easy = nullptr;
  curl_slist* header_list = nullptr;
  http_field_list received;
  std::size_t header_bytes = 0;
  bool headers_reported = false;
  // A connection was established and the request may have been sent.
  bool send_started = false;
  // Set by a cancellation from inside one of the call's own hooks.
  bool cancelled = false;

  transfer() = default;
  transfer(const transfer&) = delete;
  transfer& operator=(const transfer&) = delete;
  ~transfer() {
    if (easy != nullptr) curl_easy_cleanup(easy);
    curl_slist_free_all(header_list);
  }
};

void ReportHeaders(transfer& current) {
  if (current.headers_reported) return;
  current.headers_reported = true;
  // NOLINTNEXTLINE(google-runtime-int): libcurl's type.
  long status = 0;
  curl_easy_getinfo(current.easy, CURLINFO_RESPONSE_CODE, &status);
  if (current.call.on_headers) {
    current.call.on_headers(static_cast<int>(status), current.received);
  }
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kSpace = " \t\r\n";
  const std::size_t first = text.find_first_not_of(kSpace);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kSpace) - first + 1);
}

std::size_t OnHeaderLine(char* data, std::size_t size, std::size_t count,
                         void* user) {
  auto& current = *static_cast<transfer*>(user);
  const std::string_view line(data, size * count);
  current.header_bytes += line.size();
  if (current.header_bytes > kMaxHeaderBytes) return 0;
  if (line.starts_with("HTTP/")) {
    // The header lines of an interim response (1xx) are discarded.
    current.received.clear();
    return line.size();
  }
  const std::size_t colon = line.find(':');
  if (colon != std::string_view::npos) {
    current.received.push_back({std::string(Trim(line.substr(0, colon))),
                                std::string(Trim(line.substr(colon + 1)))});
  }
  return line.size();
}

int OnConnected(void* user, char* /*remote_ip*/, char* /*local_ip*/,
                int /*remote_port*/, int /*local_port*/) {
  auto& current = *static_cast<transfer*>(user);
  if (current.send_started || current.cancelled) return CURL_PREREQFUNC_ABORT;
  if (current.call.on_connected && !current.call.on_connected()) {
    return CURL_PREREQFUNC_ABORT;
  }
  current.send_started = true;
  return CURL_PREREQFUNC_OK;
}

std::size_t OnBody(char* data, std::size_t size, std::size_t count,
                   void* user) {
  auto& current = *static_cast<transfer*>(user);
  ReportHeaders(current);
  if (current.cancelled) return 0;
  if (current.call.on_data) {
    current.call.on_data(std::string(data, size * count));
  }
  return current.cancelled ? 0 : size * count;
}

endpoint_call_end EndOf(const transfer& current, CURLcode code) {
  if (code == CURLE_OK) return endpoint_call_end::kComplete;
  if (!current.send_started) return endpoint_call_end::kNotSent;
  if (code == CURLE_OPERATION_TIMEDOUT) return endpoint_call_end::kTimedOut;
  return endpoint_call_end::kBroken;
}

void Configure(transfer& current) {
  CURL* easy = current.easy;
  const endpoint_call& call = current.call;
  curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(call.connect_timeout.count()));
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(call.total_timeout.count()));
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  if (!call.body.empty() || call.method == "POST") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.c_str());
  }
  if (call.method == "HEAD") curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  if (call.fresh_connection) {
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  }
  for (const http_field& field : call.fields) {
    const std::string line = field.name + ": " + field.value;
    current.header_list = curl_slist_append(current.header_list, line.c_str());
  }
  current.header_list = curl_slist_append(current.header_list, "Expect:");
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, current.header_list);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, OnHeaderLine);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &current);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, OnConnected);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &current);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &current);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &current);
}

}  // namespace

class endpoint_client::implementation {
 public:
  implementation() : multi_(curl_multi_init()), thread_([this] { Run(); }) {}

  ~implementation() {
    stopping_ = true;
    curl_multi_wakeup(multi_);
    thread_.join();
    for (auto& [id, current] : transfers_) {
      curl_multi_remove_handle(multi_, current->easy);
    }
    transfers_.clear();
    curl_multi_cleanup(multi_);
  }

  call_id Start(endpoint_call call) {
    const call_id id = ++last_id_;
    {
      const std::lock_guard lock(mutex_);
      starts_.emplace_back(id, std::move(call));
    }
    curl_multi_wakeup(multi_);
    return id;
  }

  void Cancel(call_id id) {
    {
      const std::lock_guard lock(mutex_);
      cancels_.push_back(id);
    }
    if (std::this_thread::get_id() == thread_.get_id()) {
      const auto found = transfers_.find(id);
      if (found != transfers_.end()) found->second->cancelled = true;
    }
    curl_multi_wakeup(multi_);
  }

 private:
  void Run() {
    while (!stopping_) {
      TakeCommands();
      int running = 0;
      curl_multi_perform(multi_, &running);
      CollectEnds();
      curl_multi_poll(multi_, nullptr, 0, kPollTimeoutMs, nullptr);
    }
  }

  void TakeCommands() {
    std::vector<std::pair<call_id, endpoint_call>> starts;
    std::vector<call_id> cancels;
    {
      const std::lock_guard lock(mutex_);
      starts.swap(starts_);
      cancels.swap(cancels_);
    }
    for (auto& [id, call] : starts) Begin(id, std::move(call));
    for (const call_id id : cancels) Remove(id);
  }

  void Begin(call_id id, endpoint_call call) {
    auto current = std::make_unique<transfer>();
    current->id = id;
    current->call = std::move(call);
    current->easy = curl_easy_init();
    Configure(*current);
    curl_multi_add_handle(multi_, current->easy);
    transfers_.emplace(id, std::move(current));
  }

  std::unique_ptr<transfer> Remove(call_id id) {
    const auto found = transfers_.find(id);
    if (found == transfers_.end()) return nullptr;
    std::unique_ptr<transfer> current = std::move(found->second);
    transfers_.erase(found);
    curl_multi_remove_handle(multi_, current->easy);
    return current;
  }

  void CollectEnds() {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      const CURLcode code = message->data.result;
      char* user = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &user);
      const call_id id = reinterpret_cast<transfer*>(user)->id;
      const endpoint_call_end end =
          EndOf(*reinterpret_cast<transfer*>(user), code);
      const std::unique_ptr<transfer> current = Remove(id);
      if (current->cancelled || CancelRequested(id)) continue;
      if (end == endpoint_call_end::kComplete) ReportHeaders(*current);
      if (current->call.on_end) current->call.on_end(end);
    }
  }

  bool CancelRequested(call_id id) {
    const std::lock_guard lock(mutex_);
    for (const call_id cancelled : cancels_) {
      if (cancelled == id) return true;
    }
    return false;
  }

  CURLM* multi_;
  std::atomic<bool> stopping_{false};
  std::atomic<call_id> last_id_{0};
  std::mutex mutex_;
  std::vector<std::pair<call_id, endpoint_call>> starts_;
  std::vector<call_id> cancels_;
  // Used by the client's thread only.
  std::unordered_map<call_id, std::unique_ptr<transfer>> transfers_;
  std::thread thread_;
};

endpoint_client::endpoint_client() {
  static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(initialised);
  implementation_ = std::make_unique<implementation>();
}

endpoint_client::~endpoint_client() = default;

endpoint_client::call_id endpoint_client::Start(endpoint_call call) {
  return implementation_->Start(std::move(call));
}

void endpoint_client::Cancel(call_id id) { implementation_->Cancel(id); }

}  // namespace marjoramsill
