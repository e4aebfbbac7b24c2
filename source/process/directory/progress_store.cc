#include "process/directory/progress_store.h"

#include <xxhash.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

namespace marjoramsill {
namespace {

/// Longer than a control process holds a request, and than a lost connection to
/// it takes to be noticed.
constexpr std::chrono::milliseconds kMaxAge{1'600};

using pool_sums = std::map<pool_digest, std::uint32_t>;

void AddTo(pool_sums& sums, const std::vector<pool_progress>& pools) {
  for (const pool_progress& each : pools) sums[each.pool] += each.requests;
}

std::vector<pool_progress> ToPools(const pool_sums& sums) {
  std::vector<pool_progress> pools;
  pools.reserve(sums.size());
  for (const auto& [pool, requests] : sums) {
    if (requests > 0) pools.push_back({pool, requests});
  }
  return pools;
}

}  // namespace

pool_digest DigestOf(const model_id& pool) {
  const std::string& id = pool.value();
  const XXH64_hash_t hash = XXH3_64bits(id.data(), id.size());
  return pool_digest(static_cast<std::uint32_t>(hash));
}

void progress_store::RecordEntry(const vm_id& entry,
                                 std::vector<pool_progress> pools,
                                 steady_time now) {
  entries_[entry] = {std::move(pools), now};
}

void progress_store::RecordMember(const vm_id& member, fleet_progress sum,
                                  steady_time now) {
  members_[member] = {std::move(sum), now};
}

fleet_progress progress_store::OwnSum() const {
  pool_sums sums;
  for (const auto& [vm, each] : entries_) AddTo(sums, each.pools);
  return {static_cast<std::uint32_t>(entries_.size()), ToPools(sums)};
}

fleet_progress progress_store::SumWithout(const vm_id& entry) const {
  fleet_progress total;
  pool_sums sums;
  for (const auto& [vm, each] : entries_) {
    if (vm == entry) continue;
    AddTo(sums, each.pools);
    ++total.entry_count;
  }
  for (const auto& [vm, each] : members_) {
    AddTo(sums, each.sum.pools);
    total.entry_count += each.sum.entry_count;
  }
  total.pools = ToPools(sums);
  return total;
}

void progress_store::Expire(steady_time now) {
  const auto is_old = [now](const auto& entry) {
    return now - entry.second.reported_at > kMaxAge;
  };
  std::erase_if(entries_, is_old);
  std::erase_if(members_, is_old);
}

}  // namespace marjoramsill
