#ifndef MARJORAMSILL_PROCESS_REPLICATION_GROUP_CONFIGURATION_H_
#define MARJORAMSILL_PROCESS_REPLICATION_GROUP_CONFIGURATION_H_

#include <cstddef>
#include <vector>

#include "process/replication/member.h"

namespace marjoramsill {

/// Members of a replicated group, sorted by id.
struct group_configuration {
  std::vector<group_member> members;

  const group_member* Find(const member_id& id) const;
  bool IsVoter(const member_id& id) const;
  std::size_t voter_count() const;
  /// Smallest number of voters that is a majority.
  std::size_t quorum() const { return voter_count() / 2 + 1; }

  /// Adds the member or replaces the record with the same id.
  void Set(group_member member);
  void Remove(const member_id& id);

  friend bool operator==(const group_configuration&,
                         const group_configuration&) = default;
};

/// True if the sets of voters differ in at most one member and `to` has a
/// voter. Then every majority of one configuration overlaps every majority of
/// the other.
bool IsSingleStep(const group_configuration& from,
                  const group_configuration& to);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_GROUP_CONFIGURATION_H_
