#include "process/directory/document_holder.h"

#include <xxhash.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace marjoramsill {
namespace {

/// A member that took part in the commit announces the document within this
/// time; one that is still catching up may need seconds.
constexpr std::chrono::milliseconds kAnnouncementTime{150};

}  // namespace

std::optional<vm_id> ChooseHolder(const vm_id& self, document_version wanted,
                                  const std::vector<reachable_member>& members,
                                  std::chrono::microseconds waited,
                                  int failures) {
  if (members.empty()) return std::nullopt;
  const std::string& name = self.value();
  const std::uint64_t hash = XXH3_64bits(name.data(), name.size());
  const reachable_member& preferred = members[hash % members.size()];
  if (failures == 0 && preferred.document >= wanted) return preferred.vm;
  if (failures == 0 && waited < kAnnouncementTime) return std::nullopt;
  std::vector<vm_id> holders;
  for (const reachable_member& each : members) {
    if (each.document >= wanted) holders.push_back(each.vm);
  }
  if (holders.empty()) return std::nullopt;
  const auto turn = hash + static_cast<std::uint64_t>(failures);
  return holders[turn % holders.size()];
}

}  // namespace marjoramsill
