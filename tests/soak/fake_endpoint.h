#ifndef MARJORAMSILL_TESTS_SOAK_FAKE_ENDPOINT_H_
#define MARJORAMSILL_TESTS_SOAK_FAKE_ENDPOINT_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "connection/caller_listener.h"
#include "connection/caller_message.h"
#include "connection/socket_address.h"

namespace marjoramsill {
class caller_connection;
}  // namespace marjoramsill

namespace marjoramsill::soak {

class held_request;
class run_ledger;

/// Addresses and announced properties of a fake endpoint.
struct fake_endpoint_settings {
  std::string id;
  std::string pool;
  /// `listen` is the bound address, `announced` the address of its proxy.
  socket_address listen;
  std::string announced;
  std::string domain;
  /// Version of its software, in its heartbeats.
  std::string software = "v1";
  /// Time from a plain request to its response.
  std::chrono::milliseconds service_time{15};
  /// Its responses name the requests that it holds.
  bool reports_load = false;
  /// Requests that it runs at the same time, in its heartbeats and reports.
  int slots = 32;
  /// Requests beyond this number are refused; 0: none is.
  int most_running = 0;
  /// Time between two events of a stream.
  std::chrono::milliseconds event_interval{20};
  /// Three streams of ten are silent in their middle, for half of this time to
  /// all of it.
  std::chrono::milliseconds silence{0};
  /// After a crash by a prompt part it starts again under another id.
  bool renews_id = false;
  /// Its responses reach the VM with this IP.
  std::function<bool(const std::string&)> has_sound_link =
      [](const std::string&) { return true; };
  /// Called when it starts or stops accepting connections.
  std::function<void(bool)> on_running = [](bool) {};
  /// Chooses the control process that receives the next heartbeat.
  std::function<socket_address()> control;
};

/// Simulates an endpoint of the platform: sends heartbeats, serves plain
/// requests and resumable streams, and records in the ledger which requests it
/// ran.
class fake_endpoint {
 public:
  fake_endpoint(asio::io_context& io, fake_endpoint_settings settings,
                run_ledger& ledger);
  ~fake_endpoint();
  fake_endpoint(const fake_endpoint&) = delete;
  fake_endpoint& operator=(const fake_endpoint&) = delete;

  void Start();
  /// Starts under another id, as a new instance at the same address.
  void StartRenewed();
  /// Closes all connections without announcing that it leaves.
  void Crash();
  /// Its next heartbeat names another pool, later ones its own again.
  void AnnounceOnceInPool(const std::string& pool) {
    next_heartbeat_pool_ = pool;
  }
  /// Its next heartbeat goes to this control process first.
  void SetNextControl(const socket_address& control) {
    next_control_ = control;
  }
  /// Announces that it leaves, and exits some time after the acknowledgement.
  void Leave();
  /// From now on its responses name the request rate, per second, that it takes
  /// from all entry VMs together; nothing: no limit.
  void SetLimit(std::optional<double> per_second) { limit_ = per_second; }
  /// It is cold for this time, and says so in its heartbeats from now on.
  void SetColdFor(std::chrono::milliseconds duration);
  /// From now on its responses name the refusals in a second that it survives,
  /// and kContactTime later it refuses requests beyond its slots and crashes
  /// after more refusals; nothing: no longer.
  void SetBrittle(std::optional<int> refusals);
  /// From now on it turns each request away and asks the sender for a pause
  /// with this value of Retry-After; nothing: no longer.
  void SetPausing(std::optional<std::string> retry_after) {
    retry_after_ = std::move(retry_after);
  }
  /// From now on it says in all its responses that it leaves, until it starts
  /// again; its heartbeats do not.
  void SetLeavingInResponses() { says_that_it_leaves_ = true; }
  /// From now on it goes on with requests whose caller has left.
  void SetFinishingDropped(bool finishes) { finishes_dropped_ = finishes; }
  /// Its heartbeats name this software from its next start on.
  void SetSoftware(const std::string& software) {
    settings_.software = software;
  }
  const std::string& software() const { return settings_.software; }
  const std::string& id() const { return settings_.id; }
  const std::string& announced() const { return settings_.announced; }
  /// Crashes after too many refusals.
  int fall_count() const { return fall_count_; }
  /// Requests that it refused for want of room.
  int refusal_count() const { return refusal_count_; }
  int slots() const { return settings_.slots; }
  /// From now on it runs requests and responds 500 to them, or no more.
  void SetFailing(bool fails) { fails_ = fails; }
  /// From now on its answers have neither a length nor chunks, or do again.
  void SetUnframed(bool is_unframed) { is_unframed_ = is_unframed; }
  /// From now on it refuses further requests for want of room, or no more.
  void SetFull(bool is_full) { is_full_ = is_full; }
  /// From now on it sends nothing, until it goes on.
  void SetSilent(bool is_silent) { is_silent_ = is_silent; }
  using time_list = std::vector<std::chrono::steady_clock::time_point>;
  /// When requests arrived.
  const time_list& arrivals() const { return arrivals_; }
  /// Requests that it holds.
  int held_count() const { return held_count_; }
  /// The request rate that its responses name.
  const std::optional<double>& limit() const { return limit_; }
  bool is_running() const { return listener_.has_value(); }
  /// The last stream that began here is the one of this request.
  bool IsStreaming(const std::string& request) const {
    return last_stream_ == request;
  }

 private:
  void ScheduleHeartbeat(std::chrono::milliseconds delay);
  void SendHeartbeat();
  void OnRequest(const std::shared_ptr<caller_connection>& caller,
                 const caller_message& message);
  /// Counts a request as held by this endpoint until it is dropped.
  std::shared_ptr<held_request> Hold(
      const std::shared_ptr<caller_connection>& caller);
  void SendResponse(const std::shared_ptr<caller_connection>& caller,
                    const std::string& request,
                    const std::shared_ptr<held_request>& held);
  /// True if it holds as many requests as it runs, and refuses further ones.
  bool IsFull() const;
  /// True if it refuses the request for want of room. A brittle one crashes
  /// after too many refusals in a second.
  bool RefusesForWantOfRoom(const std::shared_ptr<caller_connection>& caller,
                            const std::string& request);
  /// True if it turns the request away and asks for a pause.
  bool TurnsAway(const std::shared_ptr<caller_connection>& caller,
                 const std::string& request);
  /// Begins an answer and crashes; starts again some seconds later.
  void CrashInAnswer(const std::shared_ptr<caller_connection>& caller,
                     const std::string& request);
  /// Crashes without an answer; starts again some seconds later.
  void CrashBeforeAnswer();
  /// Crashes after kCrashDelay and is back after kRestartDelay.
  void CrashSoon(std::function<void()> on_crash);
  /// Time from the event with this number to the next one of the stream.
  std::chrono::milliseconds EventDelay(int number);
  void SendEvents(const std::shared_ptr<caller_connection>& caller,
                  const std::string& request, int next,
                  const std::shared_ptr<held_request>& held);
  /// Records in the ledger what the response says to the caller.
  http_field_list ResponseFields(
      const std::shared_ptr<caller_connection>& caller,
      const std::string& request) const;

  asio::io_context& io_;
  fake_endpoint_settings settings_;
  run_ledger& ledger_;
  asio::steady_timer heartbeat_;
  std::optional<caller_listener> listener_;
  std::int64_t incarnation_number_ = 0;
  std::uint64_t sequence_ = 0;
  /// Counts starts and crashes, so that timers from before do nothing.
  int start_count_ = 0;
  bool is_leaving_ = false;
  bool fails_ = false;
  bool is_unframed_ = false;
  bool is_silent_ = false;
  bool is_full_ = false;
  bool finishes_dropped_ = false;
  bool says_that_it_leaves_ = false;
  std::optional<std::string> retry_after_;
  std::string next_heartbeat_pool_;
  std::optional<socket_address> next_control_;
  std::string last_stream_;
  int held_count_ = 0;
  std::minstd_rand random_;
  /// Expires before this object: timers with requests may outlive it.
  const std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
  std::optional<double> limit_;
  std::chrono::steady_clock::time_point cold_until_;
  std::optional<int> brittle_refusals_;
  std::chrono::steady_clock::time_point brittle_since_;
  time_list refused_at_;
  int refusal_count_ = 0;
  int fall_count_ = 0;
  time_list arrivals_;
  std::optional<std::chrono::steady_clock::time_point> leave_acknowledged_at_;
};

}  // namespace marjoramsill::soak

#endif  // MARJORAMSILL_TESTS_SOAK_FAKE_ENDPOINT_H_
