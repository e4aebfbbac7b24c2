#ifndef MARJORAMSILL_COMMANDS_CONTROL_REQUEST_H_
#define MARJORAMSILL_COMMANDS_CONTROL_REQUEST_H_

#include <chrono>
#include <string>

namespace marjoramsill {

/// One request to a VM's control address.
struct control_request {
  std::string method = "GET";
  /// IP:PORT.
  std::string address{};
  /// Path with query.
  std::string target{};
  std::string body{};
  /// For the complete exchange.
  std::chrono::milliseconds timeout{10'000};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_COMMANDS_CONTROL_REQUEST_H_
