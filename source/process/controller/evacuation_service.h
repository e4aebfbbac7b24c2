#ifndef MARJORAMSILL_PROCESS_CONTROLLER_EVACUATION_SERVICE_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_EVACUATION_SERVICE_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "process/controller/evacuation_message.h"
#include "process/controller/evacuation_outcome.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

class control_watcher;
class document_store;

/// Handles orders to evacuate a failure domain and their withdrawals. Processes
/// that do not lead forward them to the leader, so operators can call any
/// control process. An order is acknowledged once it is committed, so that
/// repeated orders are acknowledged again. Must be used from the thread of the
/// process.
class evacuation_service {
 public:
  /// Called on any thread.
  using outcome_hook = std::function<void(evacuation_outcome)>;

  evacuation_service(document_store& store, control_watcher& members);

  /// Handles a request of an operator; `method` is POST or DELETE.
  void OnRequest(const std::string& method, const failure_domain_id& domain,
                 const outcome_hook& done);
  /// Request of another control process. An empty response means that the
  /// outcome is unknown.
  void OnOrderMessage(const std::string& body,
                      const std::function<void(std::string)>& respond);

 private:
  using response_hook = std::function<void(const evacuation_response&)>;

  /// Sends the order to the leader, again with a newer change number if the
  /// leader returns it before `deadline`.
  void Forward(const forwarded_evacuation& forwarded, steady_time deadline,
               const response_hook& done);
  void Accept(const forwarded_evacuation& forwarded, const response_hook& done);

  document_store& store_;
  control_watcher& members_;
  /// Orders proposed here whose outcome is open. Shared with their hooks, which
  /// run on threads of the group.
  const std::shared_ptr<std::atomic<int>> open_orders_ =
      std::make_shared<std::atomic<int>>(0);
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_EVACUATION_SERVICE_H_
