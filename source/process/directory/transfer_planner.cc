#include "process/directory/transfer_planner.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// Time until the next member is asked for all records as well, if the ones
/// before it have not sent them.
constexpr milliseconds kSourceWait{400};

}  // namespace

std::uint64_t MemberScore(const vm_id& watcher, const vm_id& member) {
  const std::string& name = member.value();
  const std::uint64_t seed =
      XXH3_64bits(watcher.value().data(), watcher.value().size());
  return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

transfer_planner::transfer_planner(vm_id self) : self_(std::move(self)) {}

record_transfer transfer_planner::Next(const vm_id& member, bool has_changes,
                                       std::size_t known,
                                       const std::vector<vm_id>& members,
                                       steady_time now) {
  if (has_changes) return record_transfer::kChanges;
  if (known > 0) return record_transfer::kDifferences;
  if (members.empty()) return record_transfer::kNone;
  if (!started_at_) started_at_ = now;
  const auto rank = static_cast<int>(RankOf(member, members));
  const bool is_source = now - *started_at_ >= rank * kSourceWait;
  return is_source ? record_transfer::kPresent : record_transfer::kNone;
}

std::size_t transfer_planner::RankOf(const vm_id& member,
                                     const std::vector<vm_id>& members) const {
  const std::uint64_t score = MemberScore(self_, member);
  const auto better = std::count_if(members.begin(), members.end(),
                                    [this, score](const vm_id& each) {
                                      return MemberScore(self_, each) > score;
                                    });
  return static_cast<std::size_t>(better);
}

}  // namespace marjoramsill
