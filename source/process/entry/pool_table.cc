#include "process/entry/pool_table.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "version/routing/routing_table.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// Percentage of an engine's cache that is expected to hold reusable prefixes.
/// Running requests use the rest.
constexpr std::uint64_t kCachedPercent = 80;

}  // namespace

pool_table::pool_table(placement_settings placement, retry_settings retries,
                       random_source random, change_hook on_change)
    : placement_(std::move(placement)),
      retry_settings_(retries),
      random_(std::move(random)),
      on_change_(std::move(on_change)) {}

void pool_table::SetDocument(std::shared_ptr<const routing_table> table) {
  table_ = std::move(table);
}

token_count pool_table::CacheCapacity(const model_id& id) const {
  const pool_spec* spec = table_ ? table_->FindPool(id) : nullptr;
  if (spec == nullptr || !spec->engine) return token_count(0);
  return token_count(spec->engine->cache_capacity.value() * kCachedPercent /
                     100);
}

std::optional<warm_up_spec> pool_table::WarmUp(const model_id& id) const {
  const pool_spec* spec = table_ ? table_->FindPool(id) : nullptr;
  return spec == nullptr ? std::nullopt : spec->warm_up;
}

endpoint_pool* pool_table::Pool(const model_id& id) {
  std::unique_ptr<endpoint_pool>& pool = pools_[id];
  if (!pool) {
    pool = std::make_unique<endpoint_pool>(placement_, random_, terms_);
    pool->SetPosition(position_);
    pool->SetInContact(in_contact_);
    pool->SetEvacuated(evacuated_, evacuations_set_at_);
  }
  pool->SetCacheCapacity(CacheCapacity(id));
  pool->SetWarmUp(WarmUp(id));
  return pool.get();
}

void pool_table::SetPosition(const fleet_position& position) {
  if (position == position_) return;
  position_ = position;
  for (const auto& [id, pool] : pools_) pool->SetPosition(position);
}

void pool_table::SetInContact(bool in_contact) {
  if (in_contact == in_contact_) return;
  in_contact_ = in_contact;
  for (const auto& [id, pool] : pools_) pool->SetInContact(in_contact);
}

void pool_table::AssumeCold(const failure_domain_id& domain,
                            steady_time until) {
  for (const auto& [id, pool] : pools_) pool->AssumeCold(domain, until);
}

std::size_t pool_table::CountCold(steady_time now) const {
  std::size_t count = 0;
  for (const auto& [id, pool] : pools_) count += pool->CountCold(now);
  return count;
}

void pool_table::SetEvacuated(const std::vector<failure_domain_id>& domains,
                              steady_time now) {
  const std::vector<failure_domain_id> before =
      std::exchange(evacuated_, domains);
  evacuations_set_at_ = now;
  for (const auto& [id, pool] : pools_) pool->SetEvacuated(domains, now);
  for (const failure_domain_id& domain : before) {
    const bool has_left =
        !std::binary_search(domains.begin(), domains.end(), domain);
    if (has_left && on_return_) on_return_(domain, now);
  }
}

retry_window* pool_table::Retries(const model_id& id) {
  std::unique_ptr<retry_window>& window = retries_[id];
  if (!window) window = std::make_unique<retry_window>(retry_settings_);
  return window.get();
}

void pool_table::Merge(const std::vector<endpoint_record>& records,
                       steady_time now) {
  for (const endpoint_record& record : records) directory_.Merge(record, now);
  for (const endpoint_record& record :
       directory_.ChangesAfter(applied_change_)) {
    Apply(record, now);
  }
  applied_change_ = directory_.last_change();
}

void pool_table::Apply(const endpoint_record& record, steady_time now) {
  const auto known = pool_by_endpoint_.find(record.id);
  if (known != pool_by_endpoint_.end() && known->second != record.pool) {
    endpoint_record ended = record;
    ended.phase = endpoint_phase::kEnded;
    Pool(known->second)->Apply(ended);
  }
  // The end of an endpoint that is not known here names no pool.
  if (!record.pool.empty()) {
    pool_by_endpoint_[record.id] = record.pool;
    endpoint_by_digest_[DigestOf(record.id)] = record.id;
    endpoint_pool* pool = Pool(record.pool);
    pool->Apply(record);
    if (endpoint_estimate* endpoint = pool->Find(record.id)) {
      endpoint->SetColdFor(milliseconds(record.cold_ms), now);
    }
  }
  on_change_(record);
}

void pool_table::ForEach(
    const std::function<void(const model_id&, endpoint_pool&)>& visit) {
  for (const auto& [id, pool] : pools_) visit(id, *pool);
}

void pool_table::Tick(steady_time now) {
  directory_.Expire(now);
  for (const auto& [id, pool] : pools_) pool->Sweep();
  terms_->Expire(now);
  std::erase_if(pool_by_endpoint_, [this](const auto& entry) {
    return directory_.Find(entry.first) == nullptr;
  });
  std::erase_if(endpoint_by_digest_, [this](const auto& entry) {
    return !pool_by_endpoint_.contains(entry.second);
  });
}

endpoint_estimate* pool_table::Find(endpoint_digest digest) {
  const auto id = endpoint_by_digest_.find(digest);
  if (id == endpoint_by_digest_.end()) return nullptr;
  const auto pool = pool_by_endpoint_.find(id->second);
  if (pool == pool_by_endpoint_.end()) return nullptr;
  return Pool(pool->second)->Find(id->second);
}

void pool_table::OnIdleConnectionLost(const endpoint_id& id, steady_time now) {
  const auto pool = pool_by_endpoint_.find(id);
  if (pool == pool_by_endpoint_.end()) return;
  endpoint_estimate* endpoint = Pool(pool->second)->Find(id);
  if (endpoint != nullptr) endpoint->OnIdleConnectionLost(now);
}

std::optional<software_digest> pool_table::OnlySoftware(
    const model_id& pool, std::chrono::milliseconds period,
    steady_time now) const {
  if (!coverage_.ReachesBackTo(now - period)) return std::nullopt;
  std::optional<software_digest> only;
  for (const endpoint_record& record : directory_.ChangesAfter(0)) {
    // An endpoint of which only the end is known may have been of any pool.
    if (record.pool.empty()) return std::nullopt;
    if (record.pool != pool) continue;
    if (record.software.empty()) return std::nullopt;
    const software_digest software = DigestOfSoftware(record);
    if (only && *only != software) return std::nullopt;
    only = software;
  }
  const pool_digest digest = DigestOf(pool);
  const pool_digest any_pool = DigestOf(model_id());
  for (const software_presence& each : directory_.former_software().All(now)) {
    if (each.age > period) continue;
    if (each.pool == any_pool) return std::nullopt;
    if (each.pool != digest) continue;
    if (only && *only != each.software) return std::nullopt;
    only = each.software;
  }
  return only;
}

bool pool_table::HasSeveralVersions(const model_id& pool) const {
  const auto found = pools_.find(pool);
  return found != pools_.end() && found->second->HasSeveralVersions();
}

void pool_table::MergeLoads(const std::vector<shared_load>& loads,
                            steady_time now) {
  for (const shared_load& load : loads) {
    endpoint_estimate* endpoint = Find(load.endpoint);
    if (endpoint != nullptr) {
      endpoint->RecordSharedLoad(load.report, now - load.age);
      if (load.sample) {
        endpoint->speed().evidence().AddSample(*load.sample, now);
      }
      endpoint->terms().RecordShared(load.limit, load.refusal_limit,
                                     now - load.age);
    }
  }
}

std::vector<shared_load> pool_table::TakeLoads(steady_time now) {
  std::vector<shared_load> loads;
  for (const auto& [id, pool] : pools_) pool->TakeLoads(loads, now);
  return loads;
}

std::vector<pool_progress> pool_table::Progress(steady_time now) const {
  std::vector<pool_progress> progress;
  for (const auto& [id, pool] : pools_) {
    const std::uint32_t requests = pool->InProgress(now);
    if (requests > 0) progress.push_back({DigestOf(id), requests});
  }
  return progress;
}

void pool_table::SetOthersProgress(const fleet_progress& others,
                                   steady_time now) {
  if (others.entry_count == 0) return;
  for (const auto& [id, pool] : pools_) {
    std::uint32_t requests = 0;
    for (const pool_progress& each : others.pools) {
      if (each.pool == DigestOf(id)) requests += each.requests;
    }
    pool->SetOthersProgress(requests, now);
  }
}

std::size_t pool_table::CountSlow() const {
  std::size_t slow = 0;
  for (const auto& [id, pool] : pools_) slow += pool->CountSlow();
  return slow;
}

pool_table::phase_counts pool_table::CountPhases() const {
  phase_counts counts;
  for (const endpoint_record& record : directory_.ChangesAfter(0)) {
    switch (record.phase) {
      case endpoint_phase::kReady:
        ++counts.ready;
        break;
      case endpoint_phase::kSilent:
        ++counts.silent;
        break;
      case endpoint_phase::kLeaving:
        ++counts.leaving;
        break;
      case endpoint_phase::kEnded:
        break;
    }
  }
  return counts;
}

}  // namespace marjoramsill
