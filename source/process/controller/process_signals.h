#ifndef MARJORAMSILL_PROCESS_CONTROLLER_PROCESS_SIGNALS_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_PROCESS_SIGNALS_H_

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <functional>

namespace marjoramsill {

/// Signals of a process: SIGTERM and SIGINT ask for a planned stop, SIGHUP
/// says that the settings have changed.
class process_signals {
 public:
  process_signals(asio::io_context& io, std::function<void()> on_stop,
                  std::function<void()> on_reload);

  /// Starts to listen. `on_stop` is called once.
  void Start();

 private:
  asio::signal_set signals_;
  const std::function<void()> on_stop_;
  const std::function<void()> on_reload_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_PROCESS_SIGNALS_H_
