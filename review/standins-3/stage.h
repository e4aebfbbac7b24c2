// Stand-ins of the platform, the operator, servers and clients, as the users'
// pages describe them, for the cases of this review. The programs of the
// project run as separate processes on loopback addresses.
#ifndef REVIEW_STANDINS_3_STAGE_H_
#define REVIEW_STANDINS_3_STAGE_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace stage {

inline constexpr int kBroken = 1;
inline constexpr int kHeld = 0;
inline constexpr int kNotRun = 2;

inline std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// record.txt: what was sent, answered and run.
class record {
 public:
  explicit record(const std::string& path)
      : file_(std::fopen(path.c_str(), "w")), start_(NowMs()) {}
  ~record() {
    if (file_ != nullptr) std::fclose(file_);
  }
  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...) {
    char text[2048];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    const std::lock_guard lock(mutex_);
    const double at = static_cast<double>(NowMs() - start_) / 1000;
    if (file_ != nullptr) {
      std::fprintf(file_, "%8.3f %s\n", at, text);
      std::fflush(file_);
    }
  }
  std::int64_t Elapsed() const { return NowMs() - start_; }

 private:
  std::mutex mutex_;
  std::FILE* file_;
  const std::int64_t start_;
};

struct address {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSockaddr(const address& where) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(where.port));
  inet_pton(AF_INET, where.ip.c_str(), &out.sin_addr);
  return out;
}

inline bool Wait(int descriptor, short events, std::int64_t until) {
  const std::int64_t left = until - NowMs();
  if (left <= 0) return false;
  pollfd item{descriptor, events, 0};
  return ::poll(&item, 1, static_cast<int>(left)) > 0;
}

/// Returns a connected socket, or -1.
inline int Dial(const address& to, std::int64_t until) {
  const int handle =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (handle < 0) return -1;
  const sockaddr_in target = ToSockaddr(to);
  int connected = ::connect(handle, reinterpret_cast<const sockaddr*>(&target),
                            sizeof(target));
  if (connected != 0 && errno == EINPROGRESS && Wait(handle, POLLOUT, until)) {
    socklen_t size = sizeof(connected);
    ::getsockopt(handle, SOL_SOCKET, SO_ERROR, &connected, &size);
  }
  if (connected != 0) {
    ::close(handle);
    return -1;
  }
  const int one = 1;
  ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return handle;
}

inline bool SendAll(int handle, std::string_view bytes, std::int64_t until) {
  while (!bytes.empty()) {
    const ssize_t sent =
        ::send(handle, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      if (!Wait(handle, POLLOUT, until)) return false;
    } else if (errno != EINTR) {
      return false;
    }
  }
  return true;
}

struct head {
  std::string first;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string Field(const std::string& name) const {
    for (const auto& [key, value] : fields) {
      if (::strcasecmp(key.c_str(), name.c_str()) == 0) return value;
    }
    return "";
  }
  bool Has(const std::string& name) const {
    return std::any_of(fields.begin(), fields.end(), [&](const auto& each) {
      return ::strcasecmp(each.first.c_str(), name.c_str()) == 0;
    });
  }
};

inline head ParseHead(std::string_view text) {
  head out;
  std::size_t at = 0;
  while (at < text.size()) {
    const std::size_t end = std::min(text.find("\r\n", at), text.size());
    const std::string line(text.substr(at, end - at));
    at = end + 2;
    if (out.first.empty()) {
      out.first = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') ++value;
    out.fields.emplace_back(line.substr(0, colon), line.substr(value));
  }
  return out;
}

/// One end of a connection that reads messages of HTTP/1.1.
class reader {
 public:
  explicit reader(int handle) : handle_(handle) {}

  /// 1: more bytes, 0: end of the stream, -1: reset or out of time.
  int Fill(std::int64_t until) {
    if (!Wait(handle_, POLLIN, until)) return -1;
    char bytes[65536];
    const ssize_t got = ::recv(handle_, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (got > 0) buffer_.append(bytes, static_cast<std::size_t>(got));
    if (got > 0) return 1;
    return got == 0 ? 0 : -1;
  }
  bool ReadHead(head& out, std::int64_t until) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (Fill(until) != 1) return false;
    }
    out = ParseHead(std::string_view(buffer_).substr(0, end));
    buffer_.erase(0, end + 4);
    return true;
  }
  bool ReadExactly(std::size_t bytes, std::string& out, std::int64_t until) {
    while (buffer_.size() < bytes) {
      if (Fill(until) != 1) return false;
    }
    out.append(buffer_, 0, bytes);
    buffer_.erase(0, bytes);
    return true;
  }
  /// True if the body is complete by its framing.
  bool ReadBody(const head& of, bool is_response, std::string& out,
                std::int64_t until) {
    if (of.Field("Transfer-Encoding") == "chunked")
      return ReadChunks(out, until);
    const std::string length = of.Field("Content-Length");
    if (!length.empty()) return ReadExactly(std::stoul(length), out, until);
    if (!is_response) return true;
    while (true) {
      const int got = Fill(until);
      out += buffer_;
      buffer_.clear();
      if (got != 1) return got == 0;
    }
  }
  const std::string& rest() const { return buffer_; }

 private:
  bool ReadLine(std::string& out, std::int64_t until) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n")) == std::string::npos) {
      if (Fill(until) != 1) return false;
    }
    out = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return true;
  }
  bool ReadChunks(std::string& out, std::int64_t until) {
    while (true) {
      std::string line;
      if (!ReadLine(line, until)) return false;
      const std::size_t size = std::stoul(line, nullptr, 16);
      if (size == 0) return ReadLine(line, until);
      if (!ReadExactly(size, out, until) || !ReadLine(line, until))
        return false;
    }
  }

  const int handle_;
  std::string buffer_;
};

struct answer {
  /// 0: no answer.
  int status = 0;
  head fields;
  std::string body;
  bool is_complete = false;
};

/// One call on a connection of its own.
inline answer Call(const address& to, const std::string& text,
                   std::int64_t timeout_ms) {
  const std::int64_t until = NowMs() + timeout_ms;
  answer out;
  const int handle = Dial(to, until);
  if (handle < 0) return out;
  reader input(handle);
  if (SendAll(handle, text, until) && input.ReadHead(out.fields, until)) {
    out.status = std::atoi(out.fields.first.substr(9, 3).c_str());
    out.is_complete = input.ReadBody(out.fields, true, out.body, until);
  }
  ::close(handle);
  return out;
}

using field_list = std::vector<std::pair<std::string, std::string>>;

inline std::string RequestText(const std::string& method,
                               const std::string& path, const std::string& host,
                               const field_list& fields,
                               const std::string& body) {
  std::string text =
      method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n";
  for (const auto& [name, value] : fields) text += name + ": " + value + "\r\n";
  if (!body.empty() || method != "GET") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

/// The machines: processes of the project, with addresses of their own.
class fleet {
 public:
  struct node {
    std::string name;
    std::string role;
    std::string ip;
    std::string settings;
    pid_t pid = -1;
  };

  fleet(record& log, int controllers, int entries) : log_(log) {
    std::random_device random;
    range_ = "127." + std::to_string(20 + random() % 200) + "." +
             std::to_string(random() % 250);
    port_ = 18000 + static_cast<int>(random() % 8000);
    folder_ = std::filesystem::temp_directory_path() /
              ("review-" + std::to_string(::getpid()) + "-" +
               std::to_string(random()));
    std::filesystem::create_directories(folder_);
    for (int i = 0; i < controllers; ++i) Add("controller", i);
    for (int i = 0; i < entries; ++i) Add("entry", i);
  }
  ~fleet() {
    for (node& each : nodes_) Kill(each);
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr)
      std::filesystem::remove_all(folder_, ignored);
  }
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  std::vector<node*> Controllers() { return Of("controller"); }
  std::vector<node*> Entries() { return Of("entry"); }
  address Control(const node& of) const { return {of.ip, port_ + 4}; }
  address Callers(const node& of) const { return {of.ip, port_ + 2}; }
  address Readiness(const node& of) const { return {of.ip, port_ + 3}; }
  /// Address for the stand-in of a server.
  address Server(int index) const {
    return {range_ + "." + std::to_string(100 + index), port_ + 7};
  }

  /// As the platform does at each start: fills in the template.
  void WriteSettings(const node& of, bool is_first) {
    std::ofstream out(of.settings);
    const bool is_entry = of.role == "entry";
    out << "failure_domain: \"z" << of.name.back() << "\"\n"
        << "peers: \"" << of.ip << ":" << port_ << "\"\n"
        << "metrics: \"" << of.ip << ":" << port_ + 5 << "\"\n"
        << "callers: \"" << (is_entry ? Callers(of).Text() : "") << "\"\n"
        << "readiness: \"" << (is_entry ? Readiness(of).Text() : "") << "\"\n"
        << "control: \"" << (is_entry ? "" : Control(of).Text()) << "\"\n"
        << "seeds: [";
    for (const node* each : Controllers())
      out << "\"" << Control(*each).Text() << "\", ";
    out << "]\ndata_folder: \""
        << (is_entry ? "" : (folder_ / (of.name + ".data")).string()) << "\"\n"
        << "founds_group: " << (is_first ? "true" : "false") << "\n"
        << "tolerated_losses: 1\nheartbeat_interval_ms: 1200\nretry_ratio: "
           "0.2\n"
        << "retry_allowance: 52\nretry_window_ms: 10000\ndocument_apply_ms: "
           "2000\n"
        << "link_mbps: " << (is_entry ? 1000 : 6)
        << "\nmemory_mb: 256\ngrace_ms: 8000\n";
  }
  void Start(node& of, bool is_first) {
    WriteSettings(of, is_first);
    const std::string output = (folder_ / (of.name + ".log")).string();
    const pid_t child = ::fork();
    if (child == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out =
          ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::setenv("MARJORAMSILL_CONFIG", of.settings.c_str(), 1);
      const char* program = "target/source/commands/marjoramsill";
      ::execl(program, program, of.role.c_str(), "--config",
              of.settings.c_str(), nullptr);
      ::_exit(127);
    }
    of.pid = child;
    log_.Line("start %s %s", of.name.c_str(), of.ip.c_str());
  }
  void StartAll(bool is_first) {
    for (node& each : nodes_) Start(each, is_first);
  }
  void Signal(node& of, int signal) {
    if (of.pid > 0) ::kill(of.pid, signal);
    log_.Line("signal %d to %s", signal, of.name.c_str());
  }
  void Kill(node& of) {
    if (of.pid <= 0) return;
    ::kill(of.pid, SIGKILL);
    ::waitpid(of.pid, nullptr, 0);
    of.pid = -1;
    log_.Line("killed %s", of.name.c_str());
  }
  void KillAll() {
    for (node& each : nodes_) {
      if (each.pid > 0) ::kill(each.pid, SIGKILL);
    }
    for (node& each : nodes_) Kill(each);
  }
  /// Whether the process has ended by itself.
  bool HasEnded(node& of) {
    int status = 0;
    if (of.pid <= 0 || ::waitpid(of.pid, &status, WNOHANG) != of.pid)
      return false;
    log_.Line("%s ended by itself, status %d", of.name.c_str(), status);
    of.pid = -1;
    return true;
  }

  /// The operator: sends the same until it is acknowledged, to each in turn.
  bool Submit(const std::string& text, std::int64_t timeout_ms) {
    const std::int64_t until = NowMs() + timeout_ms;
    for (std::size_t i = 0; NowMs() < until; ++i) {
      const node& to = *Controllers()[i % Controllers().size()];
      const answer got =
          Call(Control(to),
               RequestText("PUT", "/config", Control(to).Text(),
                           {{"Content-Type", "application/json"}}, text),
               1000);
      log_.Line("PUT /config at %s: %d", to.name.c_str(), got.status);
      if (got.status == 200) return true;
      SleepMs(100);
    }
    return false;
  }
  /// The platform: waits until all entries say that they are ready.
  bool AwaitReady(std::int64_t timeout_ms) {
    const std::int64_t until = NowMs() + timeout_ms;
    for (const node* each : Entries()) {
      while (Call(Readiness(*each), RequestText("GET", "/readyz", "x", {}, ""),
                  500)
                 .status != 200) {
        if (NowMs() > until) return false;
        SleepMs(50);
      }
    }
    log_.Line("all entries ready");
    return true;
  }
  const std::filesystem::path& folder() const { return folder_; }

 private:
  void Add(const std::string& role, int index) {
    node added;
    added.name = role + "-" + std::to_string(index);
    added.role = role;
    added.ip =
        range_ + "." + std::to_string((role == "entry" ? 30 : 1) + index);
    added.settings = (folder_ / (added.name + ".yaml")).string();
    nodes_.push_back(added);
  }
  std::vector<node*> Of(const std::string& role) {
    std::vector<node*> found;
    for (node& each : nodes_) {
      if (each.role == role) found.push_back(&each);
    }
    return found;
  }

  record& log_;
  std::string range_;
  int port_ = 0;
  std::filesystem::path folder_;
  std::vector<node> nodes_;
};

struct request {
  std::string method;
  std::string path;
  head fields;
  std::string body;
  std::string Id() const { return fields.Field("Attempt-Id"); }
};

/// Stand-in of a server. Each start is a new incarnation.
class server {
 public:
  /// Answers on the connection. Returns whether it is kept.
  using handler = std::function<bool(server&, const request&, int)>;

  server(fleet& with, record& log, std::string id, std::string service,
         int index, handler handle)
      : fleet_(with),
        log_(log),
        id_(std::move(id)),
        service_(std::move(service)),
        at_(with.Server(index)),
        index_(index),
        handle_(std::move(handle)) {}
  ~server() { Crash(); }
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  bool Start() {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const sockaddr_in here = ToSockaddr(at_);
    if (::bind(listener_, reinterpret_cast<const sockaddr*>(&here),
               sizeof(here)) != 0 ||
        ::listen(listener_, 256) != 0) {
      return false;
    }
    born_ = UnixMs();
    sequence_ = 0;
    state_ = "ready";
    is_up_ = true;
    accepter_ = std::thread([this] { Accept(); });
    beater_ = std::thread([this] { Beat(); });
    log_.Line("server %s starts at %s born %lld", id_.c_str(),
              at_.Text().c_str(), static_cast<long long>(born_));
    return true;
  }
  /// Ends like a process that is killed.
  void Crash() {
    if (!is_up_.exchange(false)) return;
    ::shutdown(listener_, SHUT_RDWR);
    ::close(listener_);
    {
      const std::lock_guard lock(mutex_);
      for (const int handle : open_) ::shutdown(handle, SHUT_RDWR);
    }
    accepter_.join();
    beater_.join();
    while (active_ > 0) SleepMs(1);
    log_.Line("server %s down", id_.c_str());
  }
  bool is_up() const { return is_up_; }
  const std::string& id() const { return id_; }
  const address& at() const { return at_; }
  const std::string& service() const { return service_; }
  std::int64_t born() const { return born_; }
  /// Says at once that it leaves.
  void Leave() {
    state_ = "draining";
    beats_now_ = true;
  }
  /// Software version from the next start on.
  void SetVersion(const std::string& version) { version_ = version; }
  const std::string& version() const { return version_; }

  std::string BeatText(const std::string& service,
                       std::int64_t sequence) const {
    return "{\"service\":\"" + service + "\",\"address\":\"" + at_.Text() +
           "\",\"zone\":\"z" + std::to_string(index_ % 3) +
           "\",\"version\":\"" + version_ + "\",\"slots\":16,\"state\":\"" +
           state_ +
           "\",\"coldRemainingMs\":0,\"born\":" + std::to_string(born_) +
           ",\"sequence\":" + std::to_string(sequence) + "}";
  }

  static bool Reply(int handle, const std::string& status,
                    const field_list& fields, const std::string& body) {
    std::string text = "HTTP/1.1 " + status + "\r\n";
    for (const auto& [name, value] : fields)
      text += name + ": " + value + "\r\n";
    text +=
        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    return SendAll(handle, text, NowMs() + 2000);
  }

 private:
  void Beat() {
    std::size_t turn = static_cast<std::size_t>(index_);
    std::int64_t next = NowMs();
    while (is_up_) {
      if (NowMs() < next && !beats_now_.exchange(false)) {
        SleepMs(10);
        continue;
      }
      const auto controllers = fleet_.Controllers();
      const std::string text = BeatText(service_, ++sequence_);
      for (std::size_t tries = 0; is_up_ && tries < controllers.size();
           ++tries) {
        const address to =
            fleet_.Control(*controllers[turn % controllers.size()]);
        const answer got =
            Call(to,
                 RequestText("PUT", "/instances/" + id_, to.Text(),
                             {{"Content-Type", "application/json"}}, text),
                 1000);
        if (got.status / 100 == 2) break;
        ++turn;
      }
      next = NowMs() + 1200;
    }
  }
  void Accept() {
    while (is_up_) {
      if (!Wait(listener_, POLLIN, NowMs() + 50)) continue;
      const int handle = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (handle < 0) continue;
      const int one = 1;
      ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      {
        const std::lock_guard lock(mutex_);
        open_.insert(handle);
      }
      ++active_;
      std::thread([this, handle] {
        Serve(handle);
        {
          const std::lock_guard lock(mutex_);
          open_.erase(handle);
          ::close(handle);
        }
        --active_;
      }).detach();
    }
  }
  void Serve(int handle) {
    reader input(handle);
    while (is_up_) {
      request got;
      if (!input.ReadHead(got.fields, NowMs() + 4000)) return;
      const std::size_t space = got.fields.first.find(' ');
      got.method = got.fields.first.substr(0, space);
      got.path = got.fields.first.substr(
          space + 1, got.fields.first.find(' ', space + 1) - space - 1);
      if (!input.ReadBody(got.fields, false, got.body, NowMs() + 4000)) return;
      const std::string target = got.fields.Field("Target-Instance");
      if (!target.empty() && target != id_) {
        if (!Reply(handle, "421 Misdirected Request",
                   {{"Attempt-Id", got.Id()}, {"Not-Executed", "1"}}, "")) {
          return;
        }
        continue;
      }
      if (!handle_(*this, got, handle)) return;
    }
  }

  fleet& fleet_;
  record& log_;
  const std::string id_;
  const std::string service_;
  const address at_;
  const int index_;
  const handler handle_;
  int listener_ = -1;
  std::atomic<bool> is_up_{false};
  std::atomic<int> active_{0};
  std::int64_t born_ = 0;
  std::int64_t sequence_ = 0;
  std::string state_;
  std::string version_ = "v1";
  std::atomic<bool> beats_now_{false};
  std::mutex mutex_;
  std::set<int> open_;
  std::thread accepter_;
  std::thread beater_;
};

/// A configuration with one route per service; `kind` is the route's type.
struct route {
  std::string path;
  std::string kind;
  std::string service;
  int attempts = 2;
  bool is_resumable = false;
  bool is_sticky = false;
  int timeout_ms = 3000;
};

inline std::string Config(int version, const std::vector<route>& routes,
                          const std::vector<std::string>& services) {
  std::string text =
      "{\"version\":" + std::to_string(version) + ",\"routes\":[";
  for (std::size_t i = 0; i < routes.size(); ++i) {
    const route& each = routes[i];
    text +=
        std::string(i > 0 ? "," : "") + "{\"name\":\"r" + std::to_string(i) +
        "\",\"host\":\"desk.example\",\"pathPrefix\":\"" + each.path +
        "\",\"routeType\":\"" + each.kind +
        "\",\"timeoutMs\":" + std::to_string(each.timeout_ms) +
        ",\"targetLatencyMs\":300,\"priority\":1,"
        "\"service\":\"" +
        each.service + "\",\"maxAttempts\":" + std::to_string(each.attempts) +
        ",\"public\":false,\"sticky\":" + (each.is_sticky ? "true" : "false") +
        ",\"resumable\":" + (each.is_resumable ? "true" : "false") +
        ",\"gapAimMs\":250}";
  }
  text += "],\"services\":[";
  for (std::size_t i = 0; i < services.size(); ++i) {
    text += std::string(i > 0 ? "," : "") + "{\"name\":\"" + services[i] +
            "\",\"healthPath\":\"/"
            "healthz\",\"maxConns\":96,\"protocol\":\"h1\",\"tls\":false}";
  }
  return text +
         "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
         "\"headerTimeoutMs\":3000,"
         "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"club\",\"apiKeys\":"
         "[\"key-one\"],"
         "\"priority\":1}]}";
}

inline bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace stage

#endif  // REVIEW_STANDINS_3_STAGE_H_
