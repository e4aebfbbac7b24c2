#include "process/directory/document_holder.h"

#include <xxhash.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace marjoramsill {
namespace {

/// A member that took part in the commit announces the document within this
/// time. A lagging member may need seconds.
constexpr std::chrono::milliseconds kAnnouncementTime{150};

}  // namespace

std::optional<vm_id> ChooseHolder(const vm_id& self, document_version required,
                                  const std::vector<reachable_member>& members,
                                  std::chrono::microseconds waited,
                                  int failures) {
  if (members.empty()) return std::nullopt;
  const std::string& name = self.value();
  const std::uint64_t hash = XXH3_64bits(name.data(), name.size());
  const reachable_member& preferred = members[hash % members.size()];
  if (failures == 0 && preferred.document >= required) return preferred.vm;
  if (failures == 0 && waited < kAnnouncementTime) return std::nullopt;
  std::vector<vm_id> holders;
  for (const reachable_member& each : members) {
    if (each.document >= required) holders.push_back(each.vm);
  }
  if (holders.empty()) return std::nullopt;
  const auto index = hash + static_cast<std::uint64_t>(failures);
  return holders[index % holders.size()];
}

}  // namespace marjoramsill
