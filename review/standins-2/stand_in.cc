#include "stand_in.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cctype>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace review {
namespace {

constexpr milliseconds kHeartbeatInterval{1'200};
constexpr milliseconds kHeartbeatTimeout{1'000};
constexpr milliseconds kReadTimeout{20'000};
constexpr const char* kProgram = "target/source/commands/marjoramsill";

// Ports of every process, from the first one on.
constexpr int kPeers = 0;
constexpr int kRelay = 1;
constexpr int kCallers = 2;
constexpr int kReadiness = 3;
constexpr int kControl = 4;
constexpr int kMetrics = 5;
constexpr int kServer = 6;
constexpr int kPorts = 7;

sockaddr_in SocketAddress(const address& from) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(from.port);
  ::inet_pton(AF_INET, from.ip.c_str(), &to.sin_addr);
  return to;
}

int Listen(const address& at) {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in to = SocketAddress(at);
  const auto* bound = reinterpret_cast<const sockaddr*>(&to);
  if (::bind(listener, bound, sizeof(to)) == 0 && ::listen(listener, 64) == 0) {
    return listener;
  }
  ::close(listener);
  return -1;
}

void SetTimeout(int socket, milliseconds most) {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(most);
  timeval limit{};
  limit.tv_sec = seconds.count();
  limit.tv_usec = static_cast<suseconds_t>((most - seconds).count() * 1'000);
  ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
}

bool SendAll(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool Read(int socket, std::string& bytes) {
  char buffer[8'192];
  const ssize_t count = ::recv(socket, buffer, sizeof(buffer), 0);
  if (count <= 0) return false;
  bytes.append(buffer, static_cast<std::size_t>(count));
  return true;
}

/// Value of a field in a head, or nothing.
std::string FieldOf(const std::string& head, const std::string& name) {
  const std::size_t at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) return "";
  const std::size_t begin = at + name.size() + 4;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

int NumberOf(const std::string& text) {
  return text.empty() ? 0 : std::atoi(text.c_str());
}

/// Takes the chunks that are whole off `raw`. True after the last one.
bool TakeChunks(std::string& raw, std::string& body) {
  while (true) {
    const std::size_t line = raw.find("\r\n");
    if (line == std::string::npos) return false;
    const std::size_t size = std::strtoul(raw.c_str(), nullptr, 16);
    if (raw.size() < line + 2 + size + 2) return false;
    if (size == 0) return true;
    body.append(raw, line + 2, size);
    raw.erase(0, line + 2 + size + 2);
  }
}

std::string Hex(std::size_t number) {
  char text[24];
  std::snprintf(text, sizeof(text), "%zx", number);
  return text;
}

}  // namespace

run_record::run_record(const std::string& file) : file_(file) {}

void run_record::Write(const std::string& line) {
  const std::lock_guard lock(mutex_);
  const std::chrono::duration<double> at =
      std::chrono::steady_clock::now() - start_;
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f ", at.count());
  file_ << time << line << std::endl;
}

http_answer Call(const address& to, const std::string& method,
                 const std::string& path, const field_map& fields,
                 const std::string& body, milliseconds timeout) {
  http_answer answer;
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  SetTimeout(socket, timeout);
  const sockaddr_in target = SocketAddress(to);
  std::string bytes = method + " " + path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : fields) {
    bytes += name + ": " + value + "\r\n";
  }
  if (!fields.contains("Host")) bytes += "Host: " + to.Text() + "\r\n";
  bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  std::string raw;
  const auto* connected = reinterpret_cast<const sockaddr*>(&target);
  bool open = ::connect(socket, connected, sizeof(target)) == 0 &&
              SendAll(socket, bytes);
  while (open && raw.find("\r\n\r\n") == std::string::npos) {
    open = Read(socket, raw);
  }
  const std::size_t head = raw.find("\r\n\r\n");
  if (head != std::string::npos) {
    answer.head = raw.substr(0, head + 2);
    answer.status = NumberOf(raw.substr(raw.find(' ') + 1, 3));
    raw.erase(0, head + 4);
    const bool is_chunked =
        FieldOf(answer.head, "Transfer-Encoding") == "chunked";
    const auto length = static_cast<std::size_t>(
        NumberOf(FieldOf(answer.head, "Content-Length")));
    while (!answer.is_complete) {
      answer.is_complete =
          is_chunked ? TakeChunks(raw, answer.body) : raw.size() >= length;
      if (!answer.is_complete && !Read(socket, raw)) break;
    }
    if (!is_chunked) answer.body = raw;
  }
  ::close(socket);
  return answer;
}

std::vector<std::string> EventData(const std::string& body) {
  constexpr std::size_t kNameBytes = 6;
  std::vector<std::string> data;
  std::size_t at = 0;
  while ((at = body.find("data: ", at)) != std::string::npos) {
    const std::size_t end = body.find('\n', at);
    if (end == std::string::npos) break;
    data.push_back(body.substr(at + kNameBytes, end - at - kNameBytes));
    at = end;
  }
  return data;
}

std::int64_t WallMillis() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void Pause(milliseconds duration) { std::this_thread::sleep_for(duration); }

bool WaitFor(const std::function<bool()>& done, milliseconds most) {
  const auto end = std::chrono::steady_clock::now() + most;
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) return false;
    Pause(milliseconds(50));
  }
  return true;
}

fleet::fleet(run_record& record, int controllers, int entries)
    : record_(record) {
  std::string name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr) throw std::runtime_error("no folder");
  folder_ = name;
  net_ = "127." + std::to_string(64 + ::getpid() % 128) + ".";
  for (int i = 0; i < controllers; ++i) {
    controllers_.push_back(net_ + "1." + std::to_string(i + 1));
  }
  for (int i = 0; i < entries; ++i) {
    entries_.push_back(net_ + "2." + std::to_string(i + 1));
  }
  // Every process uses the same ports, each on its own address.
  constexpr std::uint16_t kFirst = 20'000;
  constexpr std::uint16_t kLast = 30'000;
  for (std::uint16_t at = kFirst; at < kLast && port_ == 0; at += kPorts) {
    bool is_free = true;
    for (int i = 0; i < kPorts && is_free; ++i) {
      const auto port = static_cast<std::uint16_t>(at + i);
      const int probe = Listen({controllers_[0], port});
      is_free = probe >= 0;
      if (is_free) ::close(probe);
    }
    if (is_free) port_ = at;
  }
  if (port_ == 0) throw std::runtime_error("no free ports");
  int zone = 0;
  for (const std::string& ip : controllers_) Write(ip, "controller", zone++);
  for (const std::string& ip : entries_) Write(ip, "entry", zone++);
}

fleet::~fleet() {
  for (const auto& [ip, each] : processes_) {
    if (each.id <= 0) continue;
    ::kill(each.id, SIGKILL);
    ::waitpid(each.id, nullptr, 0);
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

/// The fields of deploy/node.yaml, with the values of a small deployment.
void fleet::Write(const std::string& ip, const std::string& role, int zone) {
  constexpr int kZones = 3;
  const auto at = [&](int offset) {
    return "\"" + ip + ":" + std::to_string(port_ + offset) + "\"\n";
  };
  const bool is_entry = role == "entry";
  process& added = processes_[ip];
  added.role = role;
  added.settings = folder_ + "/" + ip + ".yaml";
  std::ofstream file(added.settings);
  file << "failure_domain: \"z" << zone % kZones << "\"\n"
       << "peers: " << at(kPeers) << "metrics: " << at(kMetrics)
       << "callers: " << (is_entry ? at(kCallers) : "\"\"\n")
       << "readiness: " << (is_entry ? at(kReadiness) : "\"\"\n")
       << "control: " << (is_entry ? "\"\"\n" : at(kControl)) << "seeds: [";
  for (std::size_t i = 0; i < controllers_.size(); ++i) {
    file << (i > 0 ? ", " : "") << "\"" << controllers_[i] << ":"
         << port_ + kControl << "\"";
  }
  file << "]\ndata_folder: \"" << (is_entry ? "" : folder_ + "/" + ip + ".data")
       << "\"\nfounds_group: " << (is_entry ? "false" : "true")
       << "\ntolerated_losses: 1\nheartbeat_interval_ms: "
       << kHeartbeatInterval.count()
       << "\nretry_ratio: 0.2\nretry_allowance: 52\nretry_window_ms: 10000\n"
       << "document_apply_ms: 2000\nlink_mbps: " << (is_entry ? 1000 : 6)
       << "\nmemory_mb: " << (is_entry ? 260 : 256) << "\ngrace_ms: 8000\n";
}

void fleet::Launch(const std::string& ip) {
  process& each = processes_[ip];
  const std::string log = folder_ + "/" + ip + ".log";
  const int output =
      ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  each.id = ::fork();
  if (each.id == 0) {
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::execl(kProgram, kProgram, each.role.c_str(), "--config",
            each.settings.c_str(), nullptr);
    ::_exit(127);
  }
  ::close(output);
  record_.Write("platform starts " + each.role + " " + ip);
}

bool fleet::Start(const std::string& document) {
  for (const auto& [ip, each] : processes_) Launch(ip);
  constexpr milliseconds kStartTime{20'000};
  if (!WaitFor([&] { return Submit(document); }, kStartTime)) return false;
  return WaitFor(
      [this] {
        for (const std::string& ip : entries_) {
          const address at{ip, static_cast<std::uint16_t>(port_ + kReadiness)};
          const int status =
              Call(at, "GET", "/readyz", {}, "", milliseconds(500)).status;
          if (status != 200) return false;
        }
        return true;
      },
      kStartTime);
}

bool fleet::Submit(const std::string& document) {
  for (int i = 0; i < static_cast<int>(controllers_.size()); ++i) {
    const int status =
        Call(Control(i), "PUT", "/config", {}, document, milliseconds(1'000))
            .status;
    record_.Write("operator sends the document, gets " +
                  std::to_string(status));
    if (status == 200) return true;
  }
  return false;
}

void fleet::Signal(const std::string& ip, int signal) {
  ::kill(processes_[ip].id, signal);
}

bool fleet::AllRun() {
  bool all = true;
  for (auto& [ip, each] : processes_) {
    if (each.id > 0 && ::waitpid(each.id, nullptr, WNOHANG) == each.id) {
      record_.Write("process " + ip + " has ended by itself");
      each.id = 0;
    }
    all = all && each.id > 0;
  }
  return all;
}

address fleet::Control(int index) const {
  return {controllers_[static_cast<std::size_t>(index) % controllers_.size()],
          static_cast<std::uint16_t>(port_ + kControl)};
}

address fleet::Entry(int index) const {
  return {EntryIp(index), static_cast<std::uint16_t>(port_ + kCallers)};
}

const std::string& fleet::EntryIp(int index) const {
  return entries_[static_cast<std::size_t>(index)];
}

const std::string& fleet::ControlIp(int index) const {
  return controllers_[static_cast<std::size_t>(index)];
}

address fleet::Server(int index) const {
  return {net_ + "3." + std::to_string(index),
          static_cast<std::uint16_t>(port_ + kServer)};
}

stream_server::stream_server(fleet& processes, run_record& record,
                             const address& listen, settings with)
    : processes_(processes),
      record_(record),
      listen_(listen),
      settings_(std::move(with)),
      listener_(Listen(listen)) {
  if (listener_ < 0) throw std::runtime_error("cannot listen");
  record_.Write("server " + settings_.id + " of version " + settings_.version +
                " starts at " + listen_.Text());
  threads_.emplace_back([this] { Accept(); });
  threads_.emplace_back([this] { Beat(); });
}

stream_server::~stream_server() {
  End();
  for (std::thread& each : threads_) each.join();
  for (std::thread& each : sessions_) each.join();
}

std::string stream_server::Heartbeat(const std::string& version,
                                     std::uint64_t sequence) const {
  std::string body = "{\"service\":\"" + settings_.service +
                     "\",\"address\":\"" + listen_.Text() +
                     "\",\"zone\":\"z0\",";
  if (!version.empty()) body += "\"version\":\"" + version + "\",";
  return body +
         "\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\"born\":" +
         std::to_string(born_) + ",\"sequence\":" + std::to_string(sequence) +
         "}";
}

void stream_server::Beat() {
  int next = settings_.first_control;
  while (runs_) {
    bool is_taken = !beats_;
    for (int i = 0; i < 3 && !is_taken; ++i) {
      const std::string body = Heartbeat(settings_.version, ++sequence_);
      record_.Write("server " + settings_.id + " sends heartbeat " +
                    std::to_string(sequence_) + " to control process " +
                    processes_.Control(next).ip);
      is_taken = Call(processes_.Control(next), "PUT",
                      "/instances/" + settings_.id, {}, body, kHeartbeatTimeout)
                     .status == 200;
      if (!is_taken) ++next;
    }
    const auto due = std::chrono::steady_clock::now() + kHeartbeatInterval;
    while (runs_ && std::chrono::steady_clock::now() < due) {
      Pause(milliseconds(20));
    }
  }
}

void stream_server::Accept() {
  while (runs_) {
    const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) continue;
    const std::lock_guard lock(mutex_);
    if (!runs_) {
      ::close(socket);
      return;
    }
    open_.insert(socket);
    sessions_.emplace_back([this, socket] { Serve(socket); });
  }
}

void stream_server::Serve(int socket) {
  SetTimeout(socket, kReadTimeout);
  std::string bytes;
  bool open = true;
  while (open) {
    while (open && bytes.find("\r\n\r\n") == std::string::npos) {
      open = Read(socket, bytes);
    }
    if (!open) break;
    const std::size_t end = bytes.find("\r\n\r\n") + 4;
    const std::string head = bytes.substr(0, end - 2);
    const std::size_t size =
        end +
        static_cast<std::size_t>(NumberOf(FieldOf(head, "Content-Length")));
    while (open && bytes.size() < size) open = Read(socket, bytes);
    if (!open) break;
    bytes.erase(0, size);
    open = Answer(socket, head);
  }
  const std::lock_guard lock(mutex_);
  open_.erase(socket);
  ::close(socket);
}

bool stream_server::Answer(int socket, const std::string& head) {
  const std::string request = FieldOf(head, "Attempt-Id");
  const std::string target = FieldOf(head, "Target-Instance");
  if (!target.empty() && target != settings_.id) {
    return SendAll(socket,
                   "HTTP/1.1 421 Misdirected\r\nAttempt-Id: " + request +
                       "\r\nNot-Executed: 1\r\n"
                       "Content-Length: 0\r\n\r\n");
  }
  return Stream(socket, request, NumberOf(FieldOf(head, "Last-Event-Id")));
}

bool stream_server::Stream(int socket, const std::string& request, int last) {
  record_.Write("server " + settings_.id + " of version " + settings_.version +
                " runs " + request + " after event " + std::to_string(last));
  bool open = SendAll(
      socket,
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " +
          request + "\r\nServer-Signature: s." + settings_.id + "." + request +
          "\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = last + 1; open && i <= settings_.events; ++i) {
    Pause(settings_.interval);
    const std::string event = "id: " + std::to_string(i) +
                              "\ndata: " + settings_.version + "/" +
                              std::to_string(i) + "\n\n";
    open =
        runs_ && SendAll(socket, Hex(event.size()) + "\r\n" + event + "\r\n");
  }
  return open && SendAll(socket, "0\r\n\r\n");
}

void stream_server::End() {
  if (!runs_.exchange(false)) return;
  record_.Write("server " + settings_.id + " ends");
  const std::lock_guard lock(mutex_);
  ::shutdown(listener_, SHUT_RDWR);
  ::close(listener_);
  for (const int socket : open_) ::shutdown(socket, SHUT_RDWR);
}

std::string StreamDocument(int version) {
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":[{\"name\":\"chat\",\"host\":\"h.example\","
         "\"pathPrefix\":\"/chat/\",\"routeType\":\"streaming\","
         "\"timeoutMs\":12000,\"targetLatencyMs\":250,\"priority\":0,"
         "\"service\":\"llm\",\"maxAttempts\":2,\"public\":false,"
         "\"sticky\":true,\"resumable\":true,\"gapAimMs\":250}],"
         "\"services\":[{\"name\":\"llm\",\"healthPath\":\"/healthz\","
         "\"maxConns\":610,\"protocol\":\"h1\",\"tls\":false}],"
         "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
         "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"key1\"],"
         "\"priority\":1}]}";
}

field_map StreamFields(const std::string& request, int number) {
  return {{"Host", "h.example"},
          {"Attempt-Id", request},
          {"Model", "m"},
          {"Token-Usage", "100,80"},
          {"Prompt-Prefix", "a" + std::to_string(number) + ":50,b" +
                                std::to_string(number) + ":50"},
          {"Deadline-Ms", "12000"},
          {"Credential", "key1"}};
}

std::string stream_outcome::Versions() const {
  std::set<std::string> versions;
  for (const auto* events : {&first, &second}) {
    for (const std::string& each : *events) {
      versions.insert(each.substr(0, each.find('/')));
    }
  }
  std::string text;
  for (const std::string& each : versions) {
    text += (text.empty() ? "" : "+") + each;
  }
  return text.empty() ? "none" : text;
}

stream_outcome PlayStream(run_record& record, int number, const address& first,
                          const std::function<address()>& second) {
  constexpr milliseconds kPatience{15'000};
  const std::string request = "c" + std::to_string(number);
  const std::string path = "/chat/" + request;
  const http_answer begun = Call(
      first, "POST", path, StreamFields(request, number), "prompt", kPatience);
  stream_outcome outcome;
  outcome.first = EventData(begun.body);
  record.Write("client gets " + std::to_string(begun.status) + " to " +
               request + " with " + std::to_string(outcome.first.size()) +
               " events of " + outcome.Versions() +
               (begun.is_complete ? ", complete" : ", broken off"));
  if (begun.status != 200 || begun.is_complete || outcome.first.empty()) {
    return outcome;
  }
  const std::string again = "again-" + request;
  field_map fields = StreamFields(again, number);
  fields["Resumes"] = request;
  fields["Last-Event-Id"] = std::to_string(outcome.first.size());
  outcome.is_taken_up = true;
  const address to = second();
  const http_answer more = Call(to, "POST", path, fields, "prompt", kPatience);
  outcome.second = EventData(more.body);
  record.Write("client gets " + std::to_string(more.status) + " to " + again +
               " at " + to.Text() + " with " +
               std::to_string(outcome.second.size()) +
               " further events, all in all of " + outcome.Versions());
  return outcome;
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace review
