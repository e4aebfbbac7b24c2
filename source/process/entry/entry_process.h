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

/// An entry process: takes the requests of callers and passes them to
/// endpoints, by the routing document and the endpoints that the control
/// processes tell of. All of its state belongs to one thread, because its VM
/// has one core; other threads only carry messages and log lines.
class entry_process {
 public:
  /// `settings_file` is read again when it changes.
  entry_process(node_settings settings, std::string settings_file,
                request_dialect requests, control_dialect control);
  ~entry_process();
  entry_process(const entry_process&) = delete;
  entry_process& operator=(const entry_process&) = delete;

  result<void, start_error> Start();
  /// Runs until SIGTERM or SIGINT and the end of the requests in progress.
  void Run();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_ENTRY_PROCESS_H_
