#ifndef MARJORAMSILL_VERSION_SECTION_RECORD_H_
#define MARJORAMSILL_VERSION_SECTION_RECORD_H_

#include <memory>
#include <string>

#include "types/ids.h"

namespace marjoramsill {

/// One accepted section. Its version is the document version that the
/// acceptance made, so that "all sections changed after version V" describes
/// the difference between two document versions. Empty bytes mean that the
/// section is removed; the record stays, so that its version cannot go back.
struct section_record {
  section_name name;
  section_version version;
  /// Team of the accepted submission.
  team_id team;
  std::string bytes;

  friend bool operator==(const section_record&,
                         const section_record&) = default;
};

/// Shared between the policy state, the follower and outgoing messages.
using section_ptr = std::shared_ptr<const section_record>;

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_SECTION_RECORD_H_
