#ifndef MARJORAMSILL_PROCESS_CONTROL_FETCH_REQUEST_H_
#define MARJORAMSILL_PROCESS_CONTROL_FETCH_REQUEST_H_

#include <cstdint>
#include <vector>

#include "types/ids.h"

namespace marjoramsill {

enum class fetch_scope {
  /// All sections changed after a version.
  kChanges,
  /// All sections except workspaces, for a VM without a document.
  kBase,
  /// Workspace sections in (after, until].
  kWorkspaces,
  /// Sections by name.
  kNamed
};

/// `policy/fetch` request.
struct fetch_request {
  /// Chosen by the requester and repeated in the response.
  std::uint64_t id = 0;
  fetch_scope scope = fetch_scope::kChanges;
  section_version after;
  section_version until;
  std::vector<section_name> names;

  friend bool operator==(const fetch_request&, const fetch_request&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_FETCH_REQUEST_H_
