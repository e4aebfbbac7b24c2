#ifndef MARJORAMSILL_TESTS_SOAK_FAKE_ENDPOINT_H_
#define MARJORAMSILL_TESTS_SOAK_FAKE_ENDPOINT_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "connection/caller_listener.h"
#include "connection/caller_message.h"
#include "connection/socket_address.h"

namespace marjoramsill {
class caller_connection;
}  // namespace marjoramsill

namespace marjoramsill::soak {

class run_ledger;

/// Where one fake endpoint listens and what it says of itself.
struct fake_endpoint_settings {
  std::string id;
  std::string pool;
  /// Address that it binds, and the one that it announces.
  socket_address listen;
  std::string announced;
  std::string domain;
  /// A control process for the next heartbeat.
  std::function<socket_address()> control;
};

/// An endpoint of the platform: announces itself, answers plain requests and
/// streams that can be resumed, and writes what it runs into the ledger.
class fake_endpoint {
 public:
  fake_endpoint(asio::io_context& io, fake_endpoint_settings with,
                run_ledger& ledger);
  ~fake_endpoint();
  fake_endpoint(const fake_endpoint&) = delete;
  fake_endpoint& operator=(const fake_endpoint&) = delete;

  void Start();
  /// Ends without a word.
  void Crash();
  /// Announces its end and crashes `kLinger` after the acknowledgement.
  void Leave();
  bool is_running() const { return listener_.has_value(); }

 private:
  void ScheduleHeartbeat();
  void SendHeartbeat();
  void OnRequest(const std::shared_ptr<caller_connection>& caller,
                 const caller_message& message);
  void Answer(const std::shared_ptr<caller_connection>& caller,
              const std::string& request);
  void Stream(const std::shared_ptr<caller_connection>& caller,
              const std::string& request, int next);
  http_field_list Fields(const std::string& request) const;

  asio::io_context& io_;
  const fake_endpoint_settings settings_;
  run_ledger& ledger_;
  asio::steady_timer heartbeat_;
  std::optional<caller_listener> listener_;
  std::int64_t born_ = 0;
  std::uint64_t sequence_ = 0;
  /// Counts the lives, so that timers of an earlier one do nothing.
  int life_ = 0;
  bool is_leaving_ = false;
  std::optional<std::chrono::steady_clock::time_point> left_at_;
};

}  // namespace marjoramsill::soak

#endif  // MARJORAMSILL_TESTS_SOAK_FAKE_ENDPOINT_H_
