#include "process/replication/group_configuration.h"

#include <algorithm>

namespace marjoramsill {
namespace {

bool IdLess(const group_member& member, const member_id& id) {
  return member.id < id;
}

}  // namespace

const group_member* group_configuration::Find(const member_id& id) const {
  auto it = std::lower_bound(members.begin(), members.end(), id, IdLess);
  return it != members.end() && it->id == id ? &*it : nullptr;
}

bool group_configuration::IsVoter(const member_id& id) const {
  const group_member* member = Find(id);
  return member != nullptr && member->voter;
}

std::size_t group_configuration::voter_count() const {
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(),
                    [](const group_member& m) { return m.voter; }));
}

void group_configuration::Set(group_member member) {
  auto it = std::lower_bound(members.begin(), members.end(), member.id, IdLess);
  if (it != members.end() && it->id == member.id) {
    *it = std::move(member);
  } else {
    members.insert(it, std::move(member));
  }
}

void group_configuration::Remove(const member_id& id) {
  std::erase_if(members, [&](const group_member& m) { return m.id == id; });
}

bool IsSingleStep(const group_configuration& from,
                  const group_configuration& to) {
  std::size_t changed = 0;
  for (const group_member& member : from.members) {
    if (member.voter && !to.IsVoter(member.id)) ++changed;
  }
  for (const group_member& member : to.members) {
    if (member.voter && !from.IsVoter(member.id)) ++changed;
  }
  return changed <= 1 && to.voter_count() > 0;
}

}  // namespace marjoramsill
