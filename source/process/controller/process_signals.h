#ifndef MARJORAMSILL_PROCESS_CONTROLLER_PROCESS_SIGNALS_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_PROCESS_SIGNALS_H_

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <functional>

namespace marjoramsill {

/// Handles process signals: SIGTERM and SIGINT request a planned stop, SIGHUP
/// requests a reload of the settings.
class process_signals {
 public:
  process_signals(asio::io_context& io, std::function<void()> on_stop,
                  std::function<void()> on_reload);

  /// Starts to handle signals. `on_stop` is called at most once.
  void Start();

 private:
  asio::signal_set signals_;
  const std::function<void()> on_stop_;
  const std::function<void()> on_reload_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_PROCESS_SIGNALS_H_
