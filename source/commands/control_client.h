#ifndef MARJORAMSILL_COMMANDS_CONTROL_CLIENT_H_
#define MARJORAMSILL_COMMANDS_CONTROL_CLIENT_H_

#include <chrono>
#include <optional>
#include <string>

#include "request/http_field.h"

namespace marjoramsill {

/// Answer of a VM to an operator's request.
struct control_answer {
  int status = 0;
  http_field_list fields;
  std::string body;
};

/// One request to a VM's control address.
struct control_request {
  std::string method = "GET";
  /// IP:PORT.
  std::string address{};
  /// Path with query.
  std::string target{};
  std::string body{};
  std::chrono::milliseconds timeout{10'000};
};

/// Sends the request and waits. Nothing when the VM cannot be reached; the
/// reason is then printed as one line.
std::optional<control_answer> Fetch(const control_request& request);

/// A query value with reserved characters percent-encoded.
std::string EncodeQuery(const std::string& value);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_COMMANDS_CONTROL_CLIENT_H_
