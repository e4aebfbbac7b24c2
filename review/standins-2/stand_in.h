#ifndef MARJORAMSILL_REVIEW_STANDINS_2_STAND_IN_H_
#define MARJORAMSILL_REVIEW_STANDINS_2_STAND_IN_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

// Stand-ins for the platform, the servers and the clients of a case. Threads
// and blocking sockets; nothing but the standard library.

namespace review {

using std::chrono::milliseconds;

struct address {
  std::string ip;
  std::uint16_t port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

using field_map = std::map<std::string, std::string>;

/// Answer to a call, or what arrived of it. Status 0: none.
struct http_answer {
  int status = 0;
  std::string head;
  std::string body;
  /// The answer ended as its framing says.
  bool is_complete = false;
};

/// Writes record.txt: what was sent, answered and run.
class run_record {
 public:
  explicit run_record(const std::string& file);
  void Write(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  const std::chrono::steady_clock::time_point start_ =
      std::chrono::steady_clock::now();
};

/// Sends one request on a new connection and reads the answer.
http_answer Call(const address& to, const std::string& method,
                 const std::string& path, const field_map& fields,
                 const std::string& body, milliseconds timeout);

/// The lines of the events' data fields.
std::vector<std::string> EventData(const std::string& body);

std::int64_t WallMillis();
void Pause(milliseconds duration);
/// False if `done` is not true within the time.
bool WaitFor(const std::function<bool()>& done, milliseconds most);

/// The control and entry processes, each on a loopback address of its own.
class fleet {
 public:
  fleet(run_record& record, int controllers, int entries);
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  /// Starts all processes, submits the document and waits until every entry
  /// process is ready.
  bool Start(const std::string& document);
  void Signal(const std::string& ip, int signal);
  /// False if a process has ended.
  bool AllRun();
  address Control(int index) const;
  address Entry(int index) const;
  const std::string& EntryIp(int index) const;
  const std::string& ControlIp(int index) const;
  /// A loopback address for a server.
  address Server(int index) const;

 private:
  struct process {
    std::string role;
    std::string settings;
    pid_t id = 0;
  };
  void Write(const std::string& ip, const std::string& role, int zone);
  void Launch(const std::string& ip);
  bool Submit(const std::string& document);

  run_record& record_;
  std::string folder_;
  std::string net_;
  std::uint16_t port_ = 0;
  std::vector<std::string> controllers_;
  std::vector<std::string> entries_;
  std::map<std::string, process> processes_;
};

/// A server of a service with streams of numbered events, which runs what names
/// it and goes on behind Last-Event-Id. Each event names the server's version.
class stream_server {
 public:
  struct settings {
    std::string id;
    std::string service;
    std::string version;
    int events = 30;
    milliseconds interval{250};
    /// The control process that gets its first heartbeat.
    int first_control = 0;
  };
  stream_server(fleet& processes, run_record& record, const address& listen,
                settings with);
  ~stream_server();
  stream_server(const stream_server&) = delete;
  stream_server& operator=(const stream_server&) = delete;

  /// The body of a heartbeat; an empty version is left out.
  std::string Heartbeat(const std::string& version,
                        std::uint64_t sequence) const;
  std::uint64_t sequence() const { return sequence_; }
  const std::string& id() const { return settings_.id; }
  const std::string& version() const { return settings_.version; }
  void StopHeartbeats() { beats_ = false; }
  /// Ends: closes the listening socket and resets all connections.
  void End();

 private:
  void Beat();
  void Accept();
  void Serve(int socket);
  bool Answer(int socket, const std::string& head);
  bool Stream(int socket, const std::string& request, int last);

  fleet& processes_;
  run_record& record_;
  const address listen_;
  const settings settings_;
  const std::int64_t born_ = WallMillis();
  std::atomic<std::uint64_t> sequence_{0};
  std::atomic<bool> beats_{true};
  std::atomic<bool> runs_{true};
  int listener_ = -1;
  std::mutex mutex_;
  std::set<int> open_;
  std::vector<std::thread> threads_;
  std::vector<std::thread> sessions_;
};

/// The routing document of the cases: one service, one route with streams that
/// may be resumed.
std::string StreamDocument(int version);
/// What a client sends with a request on that route.
field_map StreamFields(const std::string& request, int number);

/// What a client got of one stream, over both of its tries.
struct stream_outcome {
  std::vector<std::string> first;
  std::vector<std::string> second;
  bool is_taken_up = false;
  /// The software versions that the events name, joined by +.
  std::string Versions() const;
  bool IsMixed() const { return Versions().find('+') != std::string::npos; }
};

/// Sends a request for a stream to `first`, and takes the stream up once, at
/// the address that `second` returns, if it is broken off.
stream_outcome PlayStream(run_record& record, int number, const address& first,
                          const std::function<address()>& second);

/// False if TROUBLE=0 is set: the case runs without its disruption.
bool HasTrouble();

}  // namespace review

#endif  // MARJORAMSILL_REVIEW_STANDINS_2_STAND_IN_H_
