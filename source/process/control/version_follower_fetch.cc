#include <algorithm>
#include <utility>

#include "process/control/version_follower.h"
#include "version/section_kind.h"

namespace marjoramsill {
namespace {

constexpr std::size_t kNamesPerFetch = 8;
constexpr std::size_t kMaxTimedOut = 8;

const section_ptr* FindRecord(const fetch_response& response,
                              const section_name& name) {
  for (const section_ptr& record : response.records) {
    if (record->name == name) return &record;
  }
  return nullptr;
}

bool IsAscendingWithin(const fetch_response& response, section_version after) {
  for (const section_ptr& record : response.records) {
    if (record->version <= after) return false;
    after = record->version;
  }
  return after <= response.through;
}

}  // namespace

void version_follower::Expire(steady_time now, fetch_slot& slot) {
  if (!slot || now < slot->deadline) return;
  peers_.Avoid(slot->peer, slot->request.scope, now + options_.avoid_time);
  // A late response has already used its share of the byte rate, so it is still
  // accepted.
  timed_out_.push_back(std::move(*slot));
  if (timed_out_.size() > kMaxTimedOut) timed_out_.pop_front();
  slot.reset();
}

std::optional<fetch_request> version_follower::RemoveRequest(const vm_id& from,
                                                             std::uint64_t id) {
  const auto matches = [&](const open_fetch& fetch) {
    return fetch.request.id == id && fetch.peer == from;
  };
  for (fetch_slot* slot : {&changes_, &workspaces_, &named_}) {
    if (!*slot || !matches(**slot)) continue;
    return std::exchange(*slot, std::nullopt)->request;
  }
  const auto late = std::find_if(timed_out_.begin(), timed_out_.end(), matches);
  if (late == timed_out_.end()) return std::nullopt;
  fetch_request request = std::move(late->request);
  timed_out_.erase(late);
  return request;
}

bool version_follower::Send(steady_time now, fetch_slot& slot,
                            document_version min_version, fetch_request request,
                            follower_actions& out) {
  auto peer = peers_.Choose(now, request.scope, min_version, random_);
  if (!peer) return false;
  request.id = next_fetch_++;
  slot = open_fetch{*peer, now + options_.fetch_timeout, request};
  out.push_back(send_fetch{std::move(*peer), std::move(request)});
  return true;
}

bool version_follower::MayFetchChanges(steady_time now) {
  if (peers_.newest() <= held_.version()) {
    behind_since_.reset();
    staged_.reset();
    return false;
  }
  if (!behind_since_) behind_since_ = now;
  if (bucket_.Available(now) <= -options_.max_debt_bytes) return false;
  if (staged_) return true;
  if (held_.version().value() == 0) {
    return peers_.has_all_versions() ||
           now >= *first_version_at_ + options_.discovery_time;
  }
  return now >= *behind_since_ + options_.gap_delay;
}

void version_follower::FetchChanges(steady_time now, follower_actions& out) {
  if (changes_ || !MayFetchChanges(now)) return;
  // The peers that could complete the staged version may be unreachable.
  if (staged_ && now >= staged_->progressed + options_.staging_timeout) {
    staged_.reset();
  }
  if (!staged_) {
    staged_.emplace();
    staged_->progressed = now;
    const bool is_new = held_.version().value() == 0;
    staged_->scope = is_new ? fetch_scope::kBase : fetch_scope::kChanges;
    staged_->after = section_version(held_.version().value());
  }
  fetch_request request;
  request.scope = staged_->scope;
  request.after = staged_->after;
  // The staged responses left out changes that were superseded by the staged
  // version, so a peer with an older version cannot complete them.
  const document_version min_version =
      std::max(staged_->newest, held_.version().Next());
  const document_version newest = std::max(min_version, peers_.newest());
  if (Send(now, changes_, newest, request, out)) return;
  Send(now, changes_, min_version, request, out);
}

void version_follower::FetchWorkspaces(steady_time now, follower_actions& out) {
  if (workspaces_ || held_.complete()) return;
  if (held_.workspaces_through() >= held_.base()) return;
  if (bucket_.Available(now) <= 0) return;
  fetch_request request;
  request.scope = fetch_scope::kWorkspaces;
  request.after = held_.workspaces_through();
  request.until = held_.base();
  Send(now, workspaces_, document_version(held_.base().value()),
       std::move(request), out);
}

void version_follower::FetchNamed(steady_time now, follower_actions& out) {
  if (named_ || requested_.empty() || held_.complete()) return;
  if (bucket_.Available(now) <= -options_.max_debt_bytes) return;
  fetch_request request;
  request.scope = fetch_scope::kNamed;
  request.names = requested_.Next(kNamesPerFetch);
  Send(now, named_, document_version(held_.base().value()), std::move(request),
       out);
}

bool version_follower::IsValidResponse(const fetch_request& request,
                                       const fetch_response& response) const {
  switch (request.scope) {
    case fetch_scope::kChanges:
    case fetch_scope::kBase:
      return response.through.value() <= response.version.value() &&
             IsAscendingWithin(response, request.after);
    case fetch_scope::kWorkspaces:
      return response.version.value() >= request.until.value() &&
             response.through > request.after &&
             response.through <= request.until &&
             IsAscendingWithin(response, request.after);
    case fetch_scope::kNamed:
      return response.version.value() >= held_.base().value();
  }
  return false;
}

follower_actions version_follower::OnFetchResponse(
    steady_time now, const vm_id& from, const fetch_response& response) {
  follower_actions out;
  bucket_.Debit(now, EncodedSize(response));
  if (const auto request = RemoveRequest(from, response.id)) {
    // A busy peer can still complete the staged version later.
    if (staged_ && response.version >= staged_->newest) {
      staged_->progressed = now;
    }
    const bool usable = IsValidResponse(*request, response);
    const bool complete = usable && response.status == fetch_status::kOk;
    if (!complete) {
      peers_.Avoid(from, request->scope, now + options_.avoid_time);
    }
    if (usable && request->scope == fetch_scope::kNamed) {
      ApplyNamed(*request, response, out);
    } else if (complete && request->scope == fetch_scope::kWorkspaces) {
      ApplyWorkspaces(*request, response, out);
    } else if (complete) {
      ApplyChanges(now, *request, response, out);
    }
  }
  Proceed(now, out);
  return out;
}

void version_follower::ApplyChanges(steady_time now,
                                    const fetch_request& request,
                                    const fetch_response& response,
                                    follower_actions& out) {
  if (!staged_ || staged_->scope != request.scope ||
      staged_->after != request.after) {
    return;
  }
  // A VM that has installed the first versions from pushes in the meantime
  // holds workspace sections, which a base would leave at old versions.
  const bool obsolete_base =
      staged_->scope == fetch_scope::kBase && held_.version().value() > 0;
  if (obsolete_base || response.version < staged_->newest) {
    staged_.reset();
    return;
  }
  staged_->progressed = now;
  staged_->newest = response.version;
  staged_->after = response.through;
  auto& records = staged_->records;
  records.insert(records.end(), response.records.begin(),
                 response.records.end());
  if (response.through.value() < response.version.value()) return;
  const staged_changes done = std::move(*staged_);
  staged_.reset();
  if (done.newest <= held_.version()) return;
  if (done.scope == fetch_scope::kBase) {
    held_.InstallBase(done.records, done.newest);
  } else {
    held_.Install(done.records, done.newest);
  }
  RecordAdvance(now);
  Publish(out);
}

void version_follower::ApplyWorkspaces(const fetch_request& request,
                                       const fetch_response& response,
                                       follower_actions& out) {
  if (request.after > held_.workspaces_through()) return;
  held_.AddWorkspaces(response.records, response.through, response.version);
  Publish(out);
}

void version_follower::ApplyNamed(const fetch_request& request,
                                  const fetch_response& response,
                                  follower_actions& out) {
  bool changed = false;
  follower_actions found;
  for (const section_name& name : request.names) {
    const section_ptr* record = FindRecord(response, name);
    if (record == nullptr) {
      if (response.status != fetch_status::kOk) continue;
      requested_.SetAbsent(name);
    } else if ((*record)->version.value() > held_.version().value()) {
      // Changed after the version in force here: requested again once that
      // change is in force.
      continue;
    } else {
      held_.AddWorkspace(*record);
      changed = true;
    }
    requested_.Remove(name);
    const bool exists = record != nullptr && !(*record)->bytes.empty();
    found.push_back(workspace_response{
        workspace_id(std::string(NameInKind(name))), exists});
  }
  if (changed) Publish(out);
  out.insert(out.end(), found.begin(), found.end());
}

}  // namespace marjoramsill
