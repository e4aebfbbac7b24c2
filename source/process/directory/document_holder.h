#ifndef MARJORAMSILL_PROCESS_DIRECTORY_DOCUMENT_HOLDER_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_DOCUMENT_HOLDER_H_

#include <chrono>
#include <optional>
#include <vector>

#include "types/ids.h"

namespace marjoramsill {

/// A control process that can be reached, with the newest document that it
/// announced.
struct reachable_member {
  vm_id vm;
  document_version document;
};

/// The member that `self` asks for a document: all members share the work, so
/// each entry VM prefers another one. It is given a short time to announce the
/// version; then one that has announced it is asked. `failures`: members that
/// were asked in vain. Nothing: wait a little.
std::optional<vm_id> ChooseHolder(const vm_id& self, document_version wanted,
                                  const std::vector<reachable_member>& members,
                                  std::chrono::microseconds waited,
                                  int failures);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_DOCUMENT_HOLDER_H_
