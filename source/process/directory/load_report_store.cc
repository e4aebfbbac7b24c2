#include "process/directory/load_report_store.h"

#include <chrono>
#include <cstddef>

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// Older reports say little about the current load.
constexpr milliseconds kMaxLoadAge{2'000};
/// Limits a response to about 800 bytes: 2 KB/s for each watcher at 2.5
/// responses per second.
constexpr std::size_t kMaxLoadsPerResponse = 64;

}  // namespace

void load_report_store::Record(const std::vector<shared_load>& loads,
                               source from, steady_time now) {
  for (const shared_load& load : loads) {
    const steady_time measured_at = now - load.age;
    const auto [known, added] = loads_.try_emplace(load.endpoint);
    if (!added && known->second.measured_at >= measured_at) continue;
    known->second = {load.report, load.limit,  load.refusal_limit,
                     load.sample, measured_at, from};
  }
}

std::vector<shared_load> load_report_store::Collect(endpoint_digest& cursor,
                                                    bool from_entries_only,
                                                    steady_time now) const {
  std::vector<shared_load> found;
  auto it = loads_.upper_bound(cursor);
  for (std::size_t i = 0; i < loads_.size(); ++i, ++it) {
    if (it == loads_.end()) it = loads_.begin();
    const auto& [endpoint, load] = *it;
    const auto age = now - load.measured_at;
    if (age > kMaxLoadAge) continue;
    if (from_entries_only && load.from != source::kEntry) continue;
    found.push_back({endpoint, load.report,
                     std::chrono::duration_cast<milliseconds>(age), load.limit,
                     load.refusal_limit, load.sample});
    cursor = endpoint;
    if (found.size() == kMaxLoadsPerResponse) break;
  }
  return found;
}

void load_report_store::Expire(steady_time now) {
  std::erase_if(loads_, [now](const auto& entry) {
    return now - entry.second.measured_at > kMaxLoadAge;
  });
}

}  // namespace marjoramsill
