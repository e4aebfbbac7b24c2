#ifndef MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_SERVICE_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_SERVICE_H_

#include <functional>
#include <string>

#include "process/controller/control_dialect.h"
#include "process/controller/document_answer.h"
#include "process/controller/document_relay.h"

namespace marjoramsill {

class control_watcher;
class document_store;

/// Submissions and reads of the routing document. The leader decides; another
/// control process asks it, so that operators may call any of them. Used from
/// the thread of the process.
class document_service {
 public:
  document_service(const control_dialect& dialect, document_store& store,
                   control_watcher& members, double link_mbps);

  /// An operator submits a document.
  void Submit(const std::string& text, const document_answer_hook& done);
  /// An operator reads the newest document.
  void Read(const document_answer_hook& done);

  /// Requests of other control processes; empty answers mean unavailable.
  void OnSubmitMessage(std::string command,
                       const std::function<void(std::string)>& reply);
  void OnReadMessage(const std::function<void(std::string)>& reply) const;
  /// A VM wants the committed document, whether this process leads or not.
  void OnDocumentMessage(const vm_id& asker, const std::string& body,
                         const std::function<void(std::string)>& reply);
  /// Answers VMs that wait for the document. Call often.
  void Tick();

 private:
  void Accept(std::string command, const std::function<void(bool)>& done);
  static document_answer AnswerWith(const std::string& encoded);

  const control_dialect& dialect_;
  document_store& store_;
  control_watcher& members_;
  document_relay relay_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_SERVICE_H_
