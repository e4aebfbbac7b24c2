#ifndef MARJORAMSILL_PROCESS_DIRECTORY_DOCUMENT_HOLDER_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_DOCUMENT_HOLDER_H_

#include <chrono>
#include <optional>
#include <vector>

#include "types/ids.h"

namespace marjoramsill {

/// A control member that can be reached, with the newest document version that
/// it announced.
struct reachable_member {
  vm_id vm;
  document_version document;
};

/// Chooses the member from which the entry VM `self` requests a document. Each
/// entry VM has a preferred member, so that all members share the work. If the
/// preferred one does not announce the version within a short time, a member
/// that has announced it is chosen. `waited`: time since the version is
/// required; `failures`: unsuccessful requests so far. Returns nothing if the
/// caller should try again later.
std::optional<vm_id> ChooseHolder(const vm_id& self, document_version required,
                                  const std::vector<reachable_member>& members,
                                  std::chrono::microseconds waited,
                                  int failures);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_DOCUMENT_HOLDER_H_
