#ifndef MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_RELAY_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_RELAY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "process/controller/document_offer.h"
#include "process/controller/document_request.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Sends a document to as many VMs as the link allows, and refers the others to
/// VMs that already received it. A large document thus reaches the fleet in
/// time logarithmic in the number of VMs; sending all copies over the link of
/// one control process would take seconds.
class document_relay {
 public:
  using response_hook = std::function<void(const document_offer&)>;

  /// `link_mbps`: speed of this VM's link in Mbit/s, 0 if unknown.
  explicit document_relay(double link_mbps);

  /// Handles the request of `requester` for a document. Calls `respond` once
  /// the document is held here and the link or another VM is free to send it.
  void Request(const vm_id& requester, const document_request& request,
               response_hook respond, const stored_document& held,
               steady_time now);
  /// Time in which a VM with a link of this speed forwards a document of this
  /// size to all VMs that it is named to.
  static std::chrono::microseconds ForwardTime(double link_mbps,
                                               std::size_t bytes);
  /// Responds to waiting requests that can be served. Must be called
  /// frequently, and when `held` changes.
  void Tick(const stored_document& held, steady_time now);

 private:
  struct waiting_requester {
    vm_id vm;
    document_request request;
    response_hook respond;
    steady_time since;
  };
  struct receiver {
    vm_id vm;
    failure_domain_id domain;
    /// Time from which the VM is expected to have the document.
    steady_time ready;
    int forwards = 0;
  };
  bool Serve(const waiting_requester& requester, const stored_document& held,
             steady_time now);
  static std::chrono::microseconds TransferTime(double link_mbps,
                                                std::size_t bytes);
  void RecordTransfer(const waiting_requester& requester,
                      const stored_document& held, steady_time now);
  receiver* FindSource(const waiting_requester& requester, steady_time now);

  const double link_mbps_;
  document_version version_;
  std::vector<receiver> receivers_;
  std::vector<waiting_requester> waiting_;
  /// The link is busy sending documents until this time.
  steady_time busy_until_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_RELAY_H_
