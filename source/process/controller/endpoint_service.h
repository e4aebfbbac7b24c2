#ifndef MARJORAMSILL_PROCESS_CONTROLLER_ENDPOINT_SERVICE_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_ENDPOINT_SERVICE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "process/controller/control_dialect.h"
#include "process/controller/watch_hub.h"
#include "process/directory/endpoint_directory.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

class control_watcher;

/// Heartbeats and ends of endpoints. An announced end is acknowledged only
/// once every entry VM that can be reached has stopped sending there. Used
/// from the thread of the process.
class endpoint_service {
 public:
  /// Gets the HTTP status and the body.
  using answer_hook = std::function<void(int status, std::string body)>;

  endpoint_service(const control_dialect& dialect, watch_hub& hub,
                   endpoint_directory& directory,
                   const control_watcher& members, std::string own_address);

  void OnHeartbeat(const endpoint_id& id, const std::string& body,
                   const answer_hook& done, steady_time now);
  void OnEnd(const endpoint_id& id, const answer_hook& done, steady_time now);
  /// What other control processes know.
  void OnRecords(const std::vector<endpoint_record>& records, steady_time now);
  void Tick(steady_time now);

 private:
  void AcknowledgeEnd(const endpoint_id& id, const answer_hook& done,
                      steady_time now);
  /// More than half of the control group answered lately, this one included.
  bool IsInMajority(steady_time now) const;
  void Log(const endpoint_record& record) const;

  const control_dialect& dialect_;
  watch_hub& hub_;
  endpoint_directory& directory_;
  const control_watcher& members_;
  const std::string own_address_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_ENDPOINT_SERVICE_H_
