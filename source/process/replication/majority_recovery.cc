#include "process/replication/majority_recovery.h"

#include <algorithm>
#include <utility>

#include "process/replication/message_codec.h"

namespace marjoramsill {
namespace {

/// Last configuration in the log, or that of the snapshot if the log has none.
group_configuration LastConfiguration(const stored_state& stored) {
  group_configuration last = stored.stored_snapshot->configuration;
  for (const log_entry& entry : stored.entries) {
    if (entry.kind != entry_kind::kConfiguration ||
        entry.index <= stored.stored_snapshot->index) {
      continue;
    }
    auto decoded = DecodeConfiguration(entry.payload);
    if (decoded) last = decoded.value();
  }
  return last;
}

bool MatchesConfiguration(const group_configuration& configuration,
                          const recovery_request& request) {
  std::vector<member_id> named = request.lost;
  named.insert(named.end(), request.survivors.begin(), request.survivors.end());
  std::sort(named.begin(), named.end());
  std::vector<member_id> members;
  for (const group_member& member : configuration.members) {
    members.push_back(member.id);
  }
  return named == members;
}

}  // namespace

std::pair<log_term, log_index> LastPosition(const stored_state& stored) {
  std::pair<log_term, log_index> last;
  if (stored.stored_snapshot) {
    last = {stored.stored_snapshot->term, stored.stored_snapshot->index};
  }
  if (!stored.entries.empty()) {
    last = std::max(last, std::pair(stored.entries.back().term,
                                    stored.entries.back().index));
  }
  return last;
}

result<storage_writes, recovery_error> RecoverWithoutMajority(
    const stored_state& stored, const recovery_request& request) {
  if (!request.accept_loss) return failure(recovery_error::kNotConfirmed);
  if (!stored.stored_snapshot) return failure(recovery_error::kNoGroup);
  const group_configuration current = LastConfiguration(stored);
  const group_member* own = current.Find(request.self);
  if (own == nullptr || !own->voter) return failure(recovery_error::kNotAVoter);
  if (!MatchesConfiguration(current, request) ||
      request.positions.size() != request.survivors.size() ||
      std::find(request.survivors.begin(), request.survivors.end(),
                request.self) == request.survivors.end()) {
    return failure(recovery_error::kMembersDiffer);
  }
  const auto voters = static_cast<std::size_t>(
      std::count_if(request.survivors.begin(), request.survivors.end(),
                    [&](const member_id& id) { return current.IsVoter(id); }));
  if (voters >= current.quorum()) return failure(recovery_error::kQuorumAlive);
  const std::pair<log_term, log_index> last = LastPosition(stored);
  for (const auto& position : request.positions) {
    if (position > last) return failure(recovery_error::kNotNewest);
  }
  group_configuration next;
  next.Set(*own);
  storage_writes writes;
  hard_state state = stored.state;
  state.term = std::max(state.term, last.first).Next();
  state.voted_for = request.self;
  writes.entries.push_back({last.second.Next(), state.term,
                            entry_kind::kConfiguration,
                            EncodeConfiguration(next)});
  writes.state = std::move(state);
  return writes;
}

}  // namespace marjoramsill
