#ifndef MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_SERVICE_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_SERVICE_H_

#include <functional>
#include <string>

#include "process/controller/control_dialect.h"
#include "process/controller/document_relay.h"
#include "process/controller/document_response.h"

namespace marjoramsill {

class control_watcher;
class document_store;

/// Handles submissions and reads of the routing document. Processes that do not
/// lead forward them to the leader, so operators can call any control process.
/// Must be used from the thread of the process.
class document_service {
 public:
  document_service(const control_dialect& dialect, document_store& store,
                   control_watcher& members, double link_mbps);

  /// Checks and replicates an operator's document.
  void Submit(const std::string& text, const document_response_hook& done);
  /// Reads the newest document for an operator.
  void Read(const document_response_hook& done);

  /// Requests of other control processes. An empty response means unavailable.
  void OnSubmitMessage(std::string command,
                       const std::function<void(std::string)>& respond);
  void OnReadMessage(const std::function<void(std::string)>& respond) const;
  /// A VM requests the committed document. Served by leaders and followers
  /// alike.
  void OnDocumentMessage(const vm_id& requester, const std::string& body,
                         const std::function<void(std::string)>& respond);
  /// Responds to VMs that wait for the document. Must be called frequently.
  void Tick();

 private:
  void Accept(std::string command, const std::function<void(bool)>& done);
  static document_response ToResponse(const std::string& encoded);

  const control_dialect& dialect_;
  document_store& store_;
  control_watcher& members_;
  document_relay relay_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_SERVICE_H_
