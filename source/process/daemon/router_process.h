#ifndef MARJORAMSILL_PROCESS_DAEMON_ROUTER_PROCESS_H_
#define MARJORAMSILL_PROCESS_DAEMON_ROUTER_PROCESS_H_

#include <memory>
#include <string>

#include "process/daemon/settings.h"
#include "process/daemon/start_error.h"
#include "types/result.h"

namespace marjoramsill {

/// One process of the fleet: an entry VM, and a control member when it has a
/// data folder.
class router_process {
 public:
  explicit router_process(settings process_settings);
  ~router_process();
  router_process(const router_process&) = delete;
  router_process& operator=(const router_process&) = delete;

  result<void, start_error> Start();
  /// Serves until SIGTERM or SIGINT, then shuts down gracefully. Returns the
  /// exit status of the process.
  int Run();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_ROUTER_PROCESS_H_
