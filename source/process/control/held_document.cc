#include "process/control/held_document.h"

#include <algorithm>
#include <utility>

#include "version/section_kind.h"

namespace marjoramsill {
namespace {

// Workspace sections travel in small messages, so that the paced rate has no
// large bursts.
constexpr std::size_t kWorkspaceReplyBytes = 2048;

bool IsWorkspace(const section_record& record) {
  return KindOf(record.name) == section_kind::kWorkspaces;
}

bool IsOther(const section_record& record) { return !IsWorkspace(record); }

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
  complete_ = filled_through_ >= base_ && version() >= filled_seen_;
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
  filled_through_ = section_version();
  filled_seen_ = document_version();
}

void held_document::Fill(const std::vector<section_ptr>& records,
                         section_version through, document_version seen) {
  for (const section_ptr& record : records) Add(record);
  filled_through_ = std::max(filled_through_, through);
  filled_seen_ = std::max(filled_seen_, seen);
  UpdateComplete();
}

void held_document::FillOne(const section_ptr& record) { Add(record); }

std::vector<section_error> held_document::TakeErrors() {
  return std::exchange(errors_, {});
}

std::shared_ptr<const policy_snapshot> held_document::Snapshot() const {
  return builder_.Build(version(), complete_);
}

void held_document::ServeNamed(const fetch_request& request,
                               fetch_reply& reply) const {
  std::size_t bytes = 0;
  for (const section_name& name : request.names) {
    if (section_ptr record = document_.Find(name)) {
      bytes += record->bytes.size();
      if (bytes > kMostReplyBytes && !reply.records.empty()) {
        reply.status = fetch_status::kIncomplete;
        return;
      }
      reply.records.push_back(std::move(record));
    } else if (!complete_) {
      reply.status = fetch_status::kIncomplete;
    }
  }
}

fetch_reply held_document::Serve(const fetch_request& request) const {
  fetch_reply reply;
  reply.id = request.id;
  reply.version = version();
  const section_version newest(version().value());
  policy_document::section_range range;
  switch (request.scope) {
    case fetch_scope::kNamed:
      ServeNamed(request, reply);
      return reply;
    case fetch_scope::kChanges:
      if (!complete_ && request.after < base_) break;
      range =
          document_.Range(request.after, newest, kMostRecords, kMostReplyBytes);
      reply.through = range.through;
      reply.records = std::move(range.sections);
      return reply;
    case fetch_scope::kBase:
      range = document_.Range(request.after, newest, kMostRecords,
                              kMostReplyBytes, IsOther);
      reply.through = range.through;
      reply.records = std::move(range.sections);
      return reply;
    case fetch_scope::kWorkspaces:
      if (!complete_ || newest < request.until) break;
      range = document_.Range(request.after, request.until, kMostRecords,
                              kWorkspaceReplyBytes, IsWorkspace);
      reply.through = range.through;
      reply.records = std::move(range.sections);
      return reply;
  }
  reply.status = fetch_status::kIncomplete;
  return reply;
}

}  // namespace marjoramsill
