#ifndef MARJORAMSILL_VERSION_SECTION_RECORD_H_
#define MARJORAMSILL_VERSION_SECTION_RECORD_H_

#include <memory>
#include <string>

#include "types/ids.h"

namespace marjoramsill {

/// One accepted section. Its version is the document version that its
/// acceptance created, so the difference between two document versions is the
/// set of sections with versions between them. Empty bytes mean that the
/// section is removed; the record is kept so that its version cannot decrease.
struct section_record {
  section_name name;
  section_version version;
  /// Team that submitted the section.
  team_id team;
  std::string bytes;

  friend bool operator==(const section_record&,
                         const section_record&) = default;
};

/// Shared between the policy state, the follower and outgoing messages.
using section_ptr = std::shared_ptr<const section_record>;

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_SECTION_RECORD_H_
