#ifndef MARJORAMSILL_PROCESS_ENTRY_ENTRY_PROCESS_H_
#define MARJORAMSILL_PROCESS_ENTRY_ENTRY_PROCESS_H_

#include <memory>
#include <string>

#include "process/controller/control_dialect.h"
#include "process/controller/node_settings.h"
#include "process/daemon/start_error.h"
#include "request/request_dialect.h"
#include "types/result.h"

namespace marjoramsill {

/// An entry process: receives the requests of callers and forwards them to
/// endpoints. The routing document and the list of endpoints come from the
/// control processes. One thread owns all state, because the VM has one core;
/// other threads only transport messages and write log lines.
class entry_process {
 public:
  /// `settings_file`: path of the settings, which are reloaded when it changes.
  entry_process(node_settings settings, std::string settings_file,
                request_dialect requests, control_dialect control);
  ~entry_process();
  entry_process(const entry_process&) = delete;
  entry_process& operator=(const entry_process&) = delete;

  /// Opens the listening sockets.
  result<void, start_error> Start();
  /// Runs until SIGTERM or SIGINT and then until the requests in progress have
  /// ended or the grace period is over.
  void Run();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_ENTRY_PROCESS_H_
