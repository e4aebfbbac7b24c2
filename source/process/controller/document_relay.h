#ifndef MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_RELAY_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_RELAY_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "process/controller/document_offer.h"
#include "process/controller/document_request.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Hands a document to as many VMs as the link allows, and names VMs that got
/// it before to the others. A large document so reaches a large fleet in a
/// time that grows with the logarithm of the fleet's size, though the link of
/// a control process would take seconds to send all copies itself.
class document_relay {
 public:
  using reply_hook = std::function<void(const document_offer&)>;

  /// `link_mbps`: speed of the own link, 0 if it is not known.
  explicit document_relay(double link_mbps);

  /// `asker` wants a document. It is answered once the document is here and
  /// the link, or another VM, is free.
  void Ask(const vm_id& asker, const document_request& request,
           reply_hook reply, const stored_document& held, steady_time now);
  /// Answers those whose turn has come. Call often, and when `held` changes.
  void Tick(const stored_document& held, steady_time now);

 private:
  struct waiting_asker {
    vm_id vm;
    document_request request;
    reply_hook reply;
    steady_time since;
  };
  struct receiver {
    vm_id vm;
    failure_domain_id domain;
    /// It is expected to have the document from then on.
    steady_time ready;
    int passed_on = 0;
  };
  bool Serve(const waiting_asker& asker, const stored_document& held,
             steady_time now);
  void NoteTransfer(const waiting_asker& asker, const stored_document& held,
                    steady_time now);
  receiver* FindSource(const waiting_asker& asker, steady_time now);

  const double link_mbps_;
  document_version version_;
  std::vector<receiver> receivers_;
  std::vector<waiting_asker> waiting_;
  /// The link is taken by documents up to this time.
  steady_time busy_until_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_RELAY_H_
