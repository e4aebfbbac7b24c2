#include "process/controller/process_signals.h"

#include <csignal>
#include <system_error>
#include <utility>

namespace marjoramsill {

process_signals::process_signals(asio::io_context& io,
                                 std::function<void()> on_stop,
                                 std::function<void()> on_reload)
    : signals_(io, SIGTERM, SIGINT, SIGHUP),
      on_stop_(std::move(on_stop)),
      on_reload_(std::move(on_reload)) {}

void process_signals::Start() {
  signals_.async_wait([this](std::error_code error, int signal) {
    if (error) return;
    if (signal != SIGHUP) {
      on_stop_();
      return;
    }
    on_reload_();
    Start();
  });
}

}  // namespace marjoramsill
