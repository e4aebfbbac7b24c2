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

/// The document versions last reported by the other VMs, and the selection of a
/// peer to fetch from.
class peer_table {
 public:
  explicit peer_table(vm_location self) : self_(std::move(self)) {}

  /// Removes VMs that are no longer in the list.
  void SetVms(const std::vector<vm_location>& vms);
  /// Ignored for a VM that is not in the list.
  void SetVersion(const vm_id& vm, document_version version);
  /// Excludes a VM from `Choose` for this scope until `until`, because it sent
  /// no usable response.
  void Avoid(const vm_id& vm, fetch_scope scope, steady_time until);

  /// Newest reported version; 0 if there is none.
  document_version newest() const;
  bool has_any_version() const { return known_versions_ > 0; }
  bool has_all_versions() const { return known_versions_ == peers_.size(); }

  /// A random peer that has at least `min_version`, preferably one in the same
  /// failure domain.
  std::optional<vm_id> Choose(steady_time now, fetch_scope scope,
                              document_version min_version,
                              const random_source& random) const;

 private:
  struct peer {
    failure_domain_id domain;
    std::optional<document_version> version;
  };

  bool Avoided(const vm_id& vm, fetch_scope scope, steady_time now) const;

  vm_location self_;
  std::map<vm_id, peer> peers_;
  /// Number of peers that have reported a version.
  std::size_t known_versions_ = 0;
  std::map<std::pair<vm_id, fetch_scope>, steady_time> avoided_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_PEER_TABLE_H_
