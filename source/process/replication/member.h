#ifndef MARJORAMSILL_PROCESS_REPLICATION_MEMBER_H_
#define MARJORAMSILL_PROCESS_REPLICATION_MEMBER_H_

#include <compare>

#include "types/ids.h"

namespace marjoramsill {

/// Random number that is written to a data folder at its first start. Zero
/// means unknown.
using disk_id = strong_number<struct disk_id_tag>;

/// Identity of a member of a replicated group. A VM whose disk was lost or
/// replaced has a new disk id and is therefore a new member.
struct member_id {
  vm_id vm;
  disk_id disk;

  friend bool operator==(const member_id&, const member_id&) = default;
  // NOLINTNEXTLINE(modernize-use-nullptr): see types/strong_number.h.
  friend auto operator<=>(const member_id&, const member_id&) = default;
};

/// A member as recorded in the configuration of its group.
struct group_member {
  member_id id;
  failure_domain_id domain;
  /// A member that is not a voter is a standby: it receives the log, but
  /// neither votes nor counts towards a commit majority.
  bool voter = false;

  friend bool operator==(const group_member&, const group_member&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_MEMBER_H_
