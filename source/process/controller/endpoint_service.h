#ifndef MARJORAMSILL_PROCESS_CONTROLLER_ENDPOINT_SERVICE_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_ENDPOINT_SERVICE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "process/controller/control_dialect.h"
#include "process/controller/watch_hub.h"
#include "process/directory/endpoint_directory.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

class control_watcher;
class ending_store;

/// Handles the heartbeats and the announced ends of endpoints. An end is
/// acknowledged only once every reachable entry VM has stopped sending requests
/// to the endpoint, and once it is on the disk of this process. Must be used
/// from the thread of the process.
class endpoint_service {
 public:
  /// Receives the HTTP status and the body of the response.
  using response_hook = std::function<void(int status, std::string body)>;

  /// Whether the document in force names a pool; true without a document.
  using named_hook = std::function<bool(const model_id&)>;

  endpoint_service(const control_dialect& dialect, watch_hub& hub,
                   endpoint_directory& directory,
                   const control_watcher& members, ending_store& endings,
                   std::string own_address, named_hook is_named);

  void OnHeartbeat(const endpoint_id& id, const std::string& body,
                   const response_hook& done, steady_time now);
  void OnEnd(const endpoint_id& id, const response_hook& done, steady_time now);
  /// Endpoint records from other control processes.
  void OnRecords(const std::vector<endpoint_record>& records, steady_time now);
  /// Answers a message of heartbeat questions; empty if it is malformed.
  std::string HeartbeatStates(std::string_view questions,
                              steady_time now) const;
  void Tick(steady_time now);

 private:
  void AcknowledgeEnd(const endpoint_id& id, const response_hook& done,
                      steady_time now);
  void Respond(const endpoint_id& id, bool applied,
               const response_hook& done) const;
  /// More than half of the control group, including this process, was reachable
  /// recently.
  bool IsInMajority(steady_time now) const;
  void Log(const endpoint_record& record) const;
  /// Decides about the address of a new start of an endpoint: one of a pool
  /// that no document names takes it from no endpoint of a named pool, and
  /// leaves it to such an endpoint.
  bool TakeAddress(const endpoint_record& record, steady_time now);
  void EndEndpoint(const endpoint_id& id, steady_time now);
  /// Responds 400 to a heartbeat that describes no usable endpoint.
  void Refuse(const endpoint_id& id, const std::string& field,
              const response_hook& done) const;

  const control_dialect& dialect_;
  watch_hub& hub_;
  endpoint_directory& directory_;
  const control_watcher& members_;
  ending_store& endings_;
  const std::string own_address_;
  const named_hook is_named_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_ENDPOINT_SERVICE_H_
