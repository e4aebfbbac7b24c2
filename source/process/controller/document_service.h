#ifndef MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_SERVICE_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_SERVICE_H_

#include <cstddef>
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
  /// Called with the bytes of a document that is sent to an operator.
  using sending_hook = std::function<void(std::size_t bytes)>;

  document_service(const control_dialect& dialect, document_store& store,
                   control_watcher& members, double link_mbps,
                   sending_hook on_sending);

  /// Checks and replicates an operator's document.
  void Submit(const std::string& text, const document_response_hook& done);
  /// Reads the newest document for an operator.
  void Read(const document_response_hook& done);

  /// Requests of other control processes. An empty response means unavailable.
  void OnSubmitMessage(std::string command,
                       const std::function<void(std::string)>& respond);
  /// `body`: version that the other process holds; empty from a process of an
  /// earlier build. If it is the newest one, the response has no text.
  void OnReadMessage(const std::string& body,
                     const std::function<void(std::string)>& respond) const;
  /// A VM requests the committed document. Served by leaders and followers
  /// alike.
  void OnDocumentMessage(const vm_id& requester, const std::string& body,
                         const std::function<void(std::string)>& respond);
  /// Responds to VMs that wait for the document. Must be called frequently.
  void Tick();

 private:
  void Accept(std::string command, const std::function<void(bool)>& done);
  /// `held`: document of this process, for a response without text.
  static document_response ToResponse(const std::string& encoded,
                                      const stored_document& held);

  const control_dialect& dialect_;
  document_store& store_;
  control_watcher& members_;
  document_relay relay_;
  const sending_hook on_sending_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_SERVICE_H_
