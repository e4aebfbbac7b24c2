#include "process/control/version_follower.h"

#include <algorithm>
#include <utility>

#include "process/control/relay_tree.h"
#include "version/section_kind.h"

namespace marjoramsill {
namespace {

// Maximum number of pushed changes that wait for an earlier one. Beyond it the
// newest ones are dropped and fetched later.
constexpr std::size_t kMaxPending = 256;

}  // namespace

version_follower::version_follower(follower_start start,
                                   follower_options options,
                                   random_source random)
    : self_(start.self),
      options_(options),
      random_(std::move(random)),
      minimum_version_(start.minimum_version),
      held_(std::move(start.document)),
      peers_(std::move(start.self)),
      bucket_(options.bytes_per_second, options.burst_bytes),
      next_fetch_(random_()) {}

follower_actions version_follower::Start(steady_time now) {
  follower_actions out;
  if (held_.version().value() > 0) Publish(out);
  Proceed(now, out);
  return out;
}

follower_actions version_follower::OnVmList(steady_time now,
                                            std::vector<vm_location> vms) {
  follower_actions out;
  vms_ = std::move(vms);
  peers_.SetVms(vms_);
  Proceed(now, out);
  return out;
}

follower_actions version_follower::OnPeerVersion(steady_time now,
                                                 const vm_id& peer,
                                                 document_version version) {
  follower_actions out;
  peers_.SetVersion(peer, version);
  Proceed(now, out);
  return out;
}

follower_actions version_follower::OnCommitted(steady_time now,
                                               section_ptr record, bool lead) {
  follower_actions out;
  const change_push push{self_.vm, std::move(record)};
  if (lead) {
    AcceptChange(now, push, out);
  } else {
    AddPending(push.record);
  }
  Proceed(now, out);
  return out;
}

follower_actions version_follower::OnRestored(steady_time now,
                                              const policy_document& document) {
  follower_actions out;
  if (document.version() > held_.version()) {
    const auto range = document.Range(
        section_version(), section_version(document.version().value()),
        document.size(), SIZE_MAX);
    held_.Install(range.sections, document.version());
    RecordAdvance(now);
    Publish(out);
  }
  Proceed(now, out);
  return out;
}

follower_actions version_follower::OnPush(steady_time now,
                                          const change_push& push) {
  follower_actions out;
  bucket_.Debit(now, EncodedSize(*push.record));
  AcceptChange(now, push, out);
  Proceed(now, out);
  return out;
}

follower_actions version_follower::OnFetch(steady_time now, const vm_id& from,
                                           const fetch_request& request) {
  fetch_response response;
  response.id = request.id;
  response.version = held_.version();
  const std::int64_t min_available =
      request.scope == fetch_scope::kWorkspaces ? 0 : -options_.max_debt_bytes;
  if (held_.version().value() == 0) {
    response.status = fetch_status::kIncomplete;
  } else if (bucket_.Available(now) <= min_available) {
    response.status = fetch_status::kBusy;
  } else {
    response = held_.Serve(request);
  }
  bucket_.Debit(now, EncodedSize(response));
  return {send_response{from, std::move(response)}};
}

follower_actions version_follower::OnTick(steady_time now) {
  follower_actions out;
  Proceed(now, out);
  return out;
}

void version_follower::Publish(follower_actions& out) {
  if (held_.version() < minimum_version_) return;
  out.push_back(install_version{held_.Snapshot(), held_.TakeErrors()});
}

void version_follower::RecordAdvance(steady_time now) {
  // Restarts the wait for pushes, so that a steady stream of changes is not
  // taken for a gap.
  if (behind_since_) behind_since_ = now;
  const section_version held(held_.version().value());
  pending_.erase(pending_.begin(), pending_.upper_bound(held));
}

void version_follower::AcceptChange(steady_time now, const change_push& push,
                                    follower_actions& out) {
  if (AddPending(push.record)) Forward(now, push, out);
}

bool version_follower::AddPending(const section_ptr& record) {
  if (record->version.value() <= held_.version().value()) return false;
  if (!pending_.emplace(record->version, record).second) return false;
  if (pending_.size() > kMaxPending) pending_.erase(--pending_.end());
  return true;
}

void version_follower::Forward(steady_time now, const change_push& push,
                               follower_actions& out) {
  for (vm_id& child : relay_tree(vms_, push.root).Children(self_.vm)) {
    // A skipped child fetches the change after the next heartbeat.
    if (bucket_.Available(now) <= -options_.max_debt_bytes) return;
    bucket_.Debit(now, EncodedSize(*push.record));
    out.push_back(send_push{std::move(child), push});
  }
}

void version_follower::InstallPending(steady_time now, follower_actions& out) {
  std::vector<section_ptr> records;
  document_version reached = held_.version();
  for (const auto& [version, record] : pending_) {
    if (version.value() != reached.value() + 1) break;
    records.push_back(record);
    reached = reached.Next();
  }
  if (records.empty()) return;
  held_.Install(records, reached);
  RecordAdvance(now);
  Publish(out);
}

void version_follower::Proceed(steady_time now, follower_actions& out) {
  if (!first_version_at_ && peers_.has_any_version()) first_version_at_ = now;
  InstallPending(now, out);
  Expire(now, changes_);
  Expire(now, workspaces_);
  Expire(now, named_);
  FetchChanges(now, out);
  FetchWorkspaces(now, out);
  FetchNamed(now, out);
  RespondWhenComplete(out);
}

void version_follower::RespondWhenComplete(follower_actions& out) {
  if (!held_.complete() || held_.version().value() == 0) return;
  for (const section_name& name : requested_.TakeAll()) {
    const section_ptr record = held_.document().Find(name);
    out.push_back(
        workspace_response{workspace_id(std::string(NameInKind(name))),
                           record != nullptr && !record->bytes.empty()});
  }
}

follower_actions version_follower::OnWorkspaceRequested(
    steady_time now, const workspace_id& id) {
  follower_actions out;
  const section_name name = WorkspaceSection(id);
  if (const section_ptr record = held_.document().Find(name)) {
    out.push_back(workspace_response{id, !record->bytes.empty()});
    return out;
  }
  if (!IsPolicyName(id.value()) || requested_.IsAbsent(name)) {
    out.push_back(workspace_response{id, false});
    return out;
  }
  requested_.Add(name);
  Proceed(now, out);
  return out;
}

}  // namespace marjoramsill
