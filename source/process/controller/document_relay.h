#ifndef MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_RELAY_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_RELAY_H_

#include <cstdint>
#include <deque>

#include "process/controller/document_offer.h"
#include "types/ids.h"
#include "types/random_source.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Hands a document to as many VMs as the link allows, and names VMs that got
/// it before to the others. A large document reaches a large fleet so in a
/// time that grows with the logarithm of the fleet's size, though the link of
/// a control process would take seconds to send all copies itself.
class document_relay {
 public:
  /// `link_mbps`: speed of the own link, 0 if it is not known.
  document_relay(double link_mbps, random_source random);

  /// Answers a VM that asks for the document `held`.
  document_offer Offer(const stored_document& held, const vm_id& asker,
                       const failure_domain_id& domain, steady_time now);

 private:
  struct receiver {
    vm_id vm;
    failure_domain_id domain;
    /// It is expected to have the document from then on.
    steady_time ready;
  };
  vm_id FindSource(const vm_id& asker, const failure_domain_id& domain,
                   steady_time now) const;

  const double link_mbps_;
  const random_source random_;
  document_version version_;
  std::deque<receiver> receivers_;
  /// The link is taken by documents up to this time.
  steady_time busy_until_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_RELAY_H_
