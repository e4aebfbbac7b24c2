#include "process/controller/control_server_settings.h"

#include <chrono>
#include <string>
#include <string_view>

#include "connection/http_server_settings.h"
#include "connection/machine_memory.h"
#include "process/controller/node_settings.h"
#include "process/daemon/event_log.h"

namespace marjoramsill {
namespace {

/// A caller of the control address gives up a request much sooner.
constexpr std::chrono::milliseconds kReadTimeout{10'000};

}  // namespace

http_server_settings ControlServerSettings(const node_settings& settings) {
  http_server_settings http;
  http.listen = *settings.control;
  http.read_timeout = kReadTimeout;
  http.max_received_memory = RequestMemory(settings.memory_mb);
  http.on_memory_exhausted = [] {
    LogEvent(log_level::kWarning, "closed_for_memory", {});
  };
  http.on_invalid_request = [](std::string_view reason) {
    LogEvent(log_level::kWarning, "unreadable_request",
             {{"reason", std::string(reason)}});
  };
  return http;
}

}  // namespace marjoramsill
