#ifndef MARJORAMSILL_PROCESS_CONTROLLER_CONTROLLER_PROCESS_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_CONTROLLER_PROCESS_H_

#include <memory>
#include <string>

#include "process/controller/control_dialect.h"
#include "process/controller/node_settings.h"
#include "process/daemon/start_error.h"
#include "types/result.h"

namespace marjoramsill {

/// A control process: replicates the routing document, receives the heartbeats
/// of endpoints and distributes both to the entry processes.
class controller_process {
 public:
  /// Reloads `settings_file` when it changes.
  controller_process(node_settings settings, std::string settings_file,
                     control_dialect dialect);
  ~controller_process();
  controller_process(const controller_process&) = delete;
  controller_process& operator=(const controller_process&) = delete;

  result<void, start_error> Start();
  /// Runs until SIGTERM or SIGINT.
  void Run();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_CONTROLLER_PROCESS_H_
