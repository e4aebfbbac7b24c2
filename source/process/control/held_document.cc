#include "process/control/held_document.h"

#include <algorithm>
#include <utility>

#include "version/section_kind.h"

namespace marjoramsill {
namespace {

// Workspace sections are sent in small messages, which avoids large bursts on
// the paced link.
constexpr std::size_t kWorkspaceResponseBytes = 2048;

bool IsWorkspace(const section_record& record) {
  return KindOf(record.name) == section_kind::kWorkspaces;
}

bool IsNotWorkspace(const section_record& record) {
  return !IsWorkspace(record);
}

}  // namespace

held_document::held_document(policy_document document)
    : document_(std::move(document)) {
  for (const auto& [version, record] : document_.by_version()) {
    auto compiled = builder_.Apply(record->name, record->bytes);
    if (!compiled) errors_.push_back(compiled.error());
  }
}

void held_document::Add(const section_ptr& record) {
  if (!document_.Put(record)) return;
  auto compiled = builder_.Apply(record->name, record->bytes);
  if (!compiled) errors_.push_back(compiled.error());
}

void held_document::UpdateComplete() {
  if (complete_) return;
  complete_ = workspaces_through_ >= base_ && version() >= workspaces_version_;
}

void held_document::Install(const std::vector<section_ptr>& records,
                            document_version version) {
  for (const section_ptr& record : records) Add(record);
  document_.set_version(std::max(document_.version(), version));
  UpdateComplete();
}

void held_document::InstallBase(const std::vector<section_ptr>& records,
                                document_version version) {
  Install(records, version);
  complete_ = false;
  base_ = section_version(version.value());
  workspaces_through_ = section_version();
  workspaces_version_ = document_version();
}

void held_document::AddWorkspaces(const std::vector<section_ptr>& records,
                                  section_version through,
                                  document_version peer_version) {
  for (const section_ptr& record : records) Add(record);
  workspaces_through_ = std::max(workspaces_through_, through);
  workspaces_version_ = std::max(workspaces_version_, peer_version);
  UpdateComplete();
}

void held_document::AddWorkspace(const section_ptr& record) { Add(record); }

std::vector<section_error> held_document::TakeErrors() {
  return std::exchange(errors_, {});
}

std::shared_ptr<const policy_snapshot> held_document::Snapshot() const {
  return builder_.Build(version(), complete_);
}

void held_document::ServeNamed(const fetch_request& request,
                               fetch_response& response) const {
  std::size_t bytes = 0;
  for (const section_name& name : request.names) {
    if (section_ptr record = document_.Find(name)) {
      bytes += record->bytes.size();
      if (bytes > kMaxResponseBytes && !response.records.empty()) {
        response.status = fetch_status::kIncomplete;
        return;
      }
      response.records.push_back(std::move(record));
    } else if (!complete_) {
      response.status = fetch_status::kIncomplete;
    }
  }
}

fetch_response held_document::Serve(const fetch_request& request) const {
  fetch_response response;
  response.id = request.id;
  response.version = version();
  const section_version newest(version().value());
  policy_document::section_range range;
  switch (request.scope) {
    case fetch_scope::kNamed:
      ServeNamed(request, response);
      return response;
    case fetch_scope::kChanges:
      if (!complete_ && request.after < base_) break;
      range = document_.Range(request.after, newest, kMaxRecords,
                              kMaxResponseBytes);
      response.through = range.through;
      response.records = std::move(range.sections);
      return response;
    case fetch_scope::kBase:
      range = document_.Range(request.after, newest, kMaxRecords,
                              kMaxResponseBytes, IsNotWorkspace);
      response.through = range.through;
      response.records = std::move(range.sections);
      return response;
    case fetch_scope::kWorkspaces:
      if (!complete_ || newest < request.until) break;
      range = document_.Range(request.after, request.until, kMaxRecords,
                              kWorkspaceResponseBytes, IsWorkspace);
      response.through = range.through;
      response.records = std::move(range.sections);
      return response;
  }
  response.status = fetch_status::kIncomplete;
  return response;
}

}  // namespace marjoramsill
