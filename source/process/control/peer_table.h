#ifndef MARJORAMSILL_PROCESS_CONTROL_PEER_TABLE_H_
#define MARJORAMSILL_PROCESS_CONTROL_PEER_TABLE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "process/control/distribution_messages.h"
#include "process/control/vm_location.h"
#include "types/ids.h"
#include "types/random_source.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// The versions that the other VMs last stated, and the choice of a peer to
/// fetch from.
class peer_table {
 public:
  explicit peer_table(vm_location self) : self_(std::move(self)) {}

  /// Forgets VMs that are no longer in the list.
  void SetVms(const std::vector<vm_location>& vms);
  /// Ignored for a VM that is not in the list.
  void SetVersion(const vm_id& vm, document_version version);
  /// Not chosen for this scope until then: it did not answer, or could not.
  void Avoid(const vm_id& vm, fetch_scope scope, steady_time until);

  document_version newest() const;
  bool heard_any() const { return heard_ > 0; }
  bool heard_all() const { return heard_ == peers_.size(); }

  /// A random peer at `least` or a newer version; one of the own failure
  /// domain if there is any.
  std::optional<vm_id> Choose(steady_time now, fetch_scope scope,
                              document_version least,
                              const random_source& random) const;

 private:
  struct peer {
    failure_domain_id domain;
    std::optional<document_version> version;
  };

  bool Avoided(const vm_id& vm, fetch_scope scope, steady_time now) const;

  vm_location self_;
  std::map<vm_id, peer> peers_;
  std::size_t heard_ = 0;
  std::map<std::pair<vm_id, fetch_scope>, steady_time> avoided_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_PEER_TABLE_H_
