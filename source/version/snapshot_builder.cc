#include "version/snapshot_builder.h"

#include <string>
#include <utility>
#include <variant>

#include "version/section_kind.h"
#include "version/section_parser.h"

namespace marjoramsill {
namespace {

template <class Map, class Key, class Change>
std::shared_ptr<const Map> CopyAndChange(const std::shared_ptr<const Map>& old,
                                         const Key& key, Change change) {
  auto copy = std::make_shared<Map>(*old);
  change(*copy, key);
  return copy;
}

}  // namespace

void snapshot_builder::SetRank(rank value, const rank_policy& policy) {
  draft_.ranks_[static_cast<std::size_t>(value)] = policy;
}

void snapshot_builder::SetWorkspace(const workspace_id& id,
                                    const workspace_policy& policy) {
  draft_.workspaces_.Set(id.value(), policy);
}

void snapshot_builder::SetPool(const model_id& id, const pool_policy& policy) {
  draft_.pools_ = CopyAndChange(
      draft_.pools_, id,
      [&](pool_policies& pools, const model_id& k) { pools[k] = policy; });
}

void snapshot_builder::SetEndpoint(const endpoint_id& id,
                                   const endpoint_policy& policy) {
  draft_.endpoints_ = CopyAndChange(
      draft_.endpoints_, id,
      [&](endpoint_policies& all, const endpoint_id& k) { all[k] = policy; });
}

void snapshot_builder::MergeEndpoints() {
  auto merged = std::make_shared<endpoint_policies>();
  for (const auto& [section, roles] : endpoint_sections_) {
    merged->insert(roles.begin(), roles.end());
  }
  draft_.endpoints_ = std::move(merged);
}

result<void, section_error> snapshot_builder::Remove(
    const section_name& section) {
  const auto kind = KindOf(section);
  const std::string name(NameInKind(section));
  if (kind == section_kind::kWorkspaces) {
    draft_.workspaces_.Remove(name);
  } else if (kind == section_kind::kModels || kind == section_kind::kServices) {
    draft_.pools_ = CopyAndChange(
        draft_.pools_, model_id(name),
        [](pool_policies& pools, const model_id& k) { pools.erase(k); });
  } else if (kind == section_kind::kEndpoints) {
    endpoint_sections_.erase(section);
    MergeEndpoints();
  } else {
    return failure(section_error{section, 0, "", "nothing", "its content"});
  }
  return success();
}

result<void, section_error> snapshot_builder::Apply(const section_name& section,
                                                    std::string_view bytes) {
  if (bytes.empty()) return Remove(section);
  auto parsed = ParseSection(section, bytes);
  if (!parsed) return failure(parsed.error());
  const std::string name(NameInKind(section));
  if (auto* ranks = std::get_if<rank_policies>(&parsed.value())) {
    draft_.ranks_ = *ranks;
  } else if (auto* limits = std::get_if<workspace_policy>(&parsed.value())) {
    SetWorkspace(workspace_id(name), *limits);
  } else if (auto* pool = std::get_if<pool_policy>(&parsed.value())) {
    SetPool(model_id(name), *pool);
  } else if (auto* roles = std::get_if<endpoint_policies>(&parsed.value())) {
    endpoint_sections_[section] = std::move(*roles);
    MergeEndpoints();
  }
  return success();
}

std::shared_ptr<const policy_snapshot> snapshot_builder::Build(
    document_version version, bool workspaces_complete) const {
  auto built = std::make_shared<policy_snapshot>(draft_);
  built->version_ = version;
  built->workspaces_complete_ = workspaces_complete;
  return built;
}

}  // namespace marjoramsill
