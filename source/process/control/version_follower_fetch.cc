#include <algorithm>
#include <utility>

#include "process/control/version_follower.h"
#include "version/section_kind.h"

namespace marjoramsill {
namespace {

constexpr std::size_t kNamesOfOneFetch = 8;
constexpr std::size_t kMostLate = 8;

const section_ptr* FindRecord(const fetch_reply& reply,
                              const section_name& name) {
  for (const section_ptr& record : reply.records) {
    if (record->name == name) return &record;
  }
  return nullptr;
}

bool IsAscendingWithin(const fetch_reply& reply, section_version after) {
  for (const section_ptr& record : reply.records) {
    if (record->version <= after) return false;
    after = record->version;
  }
  return after <= reply.through;
}

}  // namespace

void version_follower::Expire(steady_time now, fetch_slot& slot) {
  if (!slot || now < slot->deadline) return;
  peers_.Avoid(slot->peer, slot->request.scope, now + options_.avoid);
  // A reply that is late on a slow path has cost its bytes, so it still counts.
  late_.push_back(std::move(*slot));
  if (late_.size() > kMostLate) late_.pop_front();
  slot.reset();
}

std::optional<fetch_request> version_follower::TakeRequest(const vm_id& from,
                                                           std::uint64_t id) {
  const auto matches = [&](const open_fetch& fetch) {
    return fetch.request.id == id && fetch.peer == from;
  };
  for (fetch_slot* slot : {&changes_, &workspaces_, &named_}) {
    if (!*slot || !matches(**slot)) continue;
    return std::exchange(*slot, std::nullopt)->request;
  }
  const auto late = std::find_if(late_.begin(), late_.end(), matches);
  if (late == late_.end()) return std::nullopt;
  fetch_request request = std::move(late->request);
  late_.erase(late);
  return request;
}

bool version_follower::Send(steady_time now, fetch_slot& slot,
                            document_version least, fetch_request request,
                            follower_actions& out) {
  auto peer = peers_.Choose(now, request.scope, least, random_);
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
  if (bucket_.Available(now) <= -options_.most_debt_bytes) return false;
  if (staged_) return true;
  if (held_.version().value() == 0) {
    return peers_.heard_all() || now >= *first_heard_ + options_.discovery;
  }
  return now >= *behind_since_ + options_.gap_delay;
}

void version_follower::FetchChanges(steady_time now, follower_actions& out) {
  if (changes_ || !MayFetchChanges(now)) return;
  // The peers that could complete the staged version may be out of reach.
  if (staged_ && now >= staged_->progressed + options_.staging_timeout) {
    staged_.reset();
  }
  if (!staged_) {
    staged_.emplace();
    staged_->progressed = now;
    const bool fresh = held_.version().value() == 0;
    staged_->scope = fresh ? fetch_scope::kBase : fetch_scope::kChanges;
    staged_->after = section_version(held_.version().value());
  }
  fetch_request request;
  request.scope = staged_->scope;
  request.after = staged_->after;
  // A peer below the staged version lacks changes that the staged replies
  // already left out as superseded.
  const document_version least =
      std::max(staged_->newest, held_.version().Next());
  const document_version newest = std::max(least, peers_.newest());
  if (Send(now, changes_, newest, request, out)) return;
  Send(now, changes_, least, request, out);
}

void version_follower::FetchWorkspaces(steady_time now, follower_actions& out) {
  if (workspaces_ || held_.complete()) return;
  if (held_.filled_through() >= held_.base()) return;
  if (bucket_.Available(now) <= 0) return;
  fetch_request request;
  request.scope = fetch_scope::kWorkspaces;
  request.after = held_.filled_through();
  request.until = held_.base();
  Send(now, workspaces_, document_version(held_.base().value()),
       std::move(request), out);
}

void version_follower::FetchNamed(steady_time now, follower_actions& out) {
  if (named_ || wants_.empty() || held_.complete()) return;
  if (bucket_.Available(now) <= -options_.most_debt_bytes) return;
  fetch_request request;
  request.scope = fetch_scope::kNamed;
  request.names = wants_.Next(kNamesOfOneFetch);
  Send(now, named_, document_version(held_.base().value()), std::move(request),
       out);
}

bool version_follower::Fits(const fetch_request& request,
                            const fetch_reply& reply) const {
  switch (request.scope) {
    case fetch_scope::kChanges:
    case fetch_scope::kBase:
      return reply.through.value() <= reply.version.value() &&
             IsAscendingWithin(reply, request.after);
    case fetch_scope::kWorkspaces:
      return reply.version.value() >= request.until.value() &&
             reply.through > request.after && reply.through <= request.until &&
             IsAscendingWithin(reply, request.after);
    case fetch_scope::kNamed:
      return reply.version.value() >= held_.base().value();
  }
  return false;
}

follower_actions version_follower::OnFetchReply(steady_time now,
                                                const vm_id& from,
                                                const fetch_reply& reply) {
  follower_actions out;
  bucket_.Debit(now, SizeOf(reply));
  if (const auto request = TakeRequest(from, reply.id)) {
    // A peer that is busy can still complete the staged version.
    if (staged_ && reply.version >= staged_->newest) {
      staged_->progressed = now;
    }
    const bool usable = Fits(*request, reply);
    const bool complete = usable && reply.status == fetch_status::kOk;
    if (!complete) {
      peers_.Avoid(from, request->scope, now + options_.avoid);
    }
    if (usable && request->scope == fetch_scope::kNamed) {
      TakeNamed(*request, reply, out);
    } else if (complete && request->scope == fetch_scope::kWorkspaces) {
      TakeWorkspaces(*request, reply, out);
    } else if (complete) {
      TakeChanges(now, *request, reply, out);
    }
  }
  Proceed(now, out);
  return out;
}

void version_follower::TakeChanges(steady_time now,
                                   const fetch_request& request,
                                   const fetch_reply& reply,
                                   follower_actions& out) {
  if (!staged_ || staged_->scope != request.scope ||
      staged_->after != request.after) {
    return;
  }
  // A VM that meanwhile installed the first versions from pushes holds
  // workspace sections, which a base would leave at old versions.
  const bool needless_base =
      staged_->scope == fetch_scope::kBase && held_.version().value() > 0;
  if (needless_base || reply.version < staged_->newest) {
    staged_.reset();
    return;
  }
  staged_->progressed = now;
  staged_->newest = reply.version;
  staged_->after = reply.through;
  auto& records = staged_->records;
  records.insert(records.end(), reply.records.begin(), reply.records.end());
  if (reply.through.value() < reply.version.value()) return;
  const staged_changes done = std::move(*staged_);
  staged_.reset();
  if (done.newest <= held_.version()) return;
  if (done.scope == fetch_scope::kBase) {
    held_.InstallBase(done.records, done.newest);
  } else {
    held_.Install(done.records, done.newest);
  }
  NoteAdvance(now);
  Publish(out);
}

void version_follower::TakeWorkspaces(const fetch_request& request,
                                      const fetch_reply& reply,
                                      follower_actions& out) {
  if (request.after > held_.filled_through()) return;
  held_.Fill(reply.records, reply.through, reply.version);
  Publish(out);
}

void version_follower::TakeNamed(const fetch_request& request,
                                 const fetch_reply& reply,
                                 follower_actions& out) {
  bool changed = false;
  follower_actions answers;
  for (const section_name& name : request.names) {
    const section_ptr* record = FindRecord(reply, name);
    if (record == nullptr) {
      if (reply.status != fetch_status::kOk) continue;
      wants_.SetAbsent(name);
    } else if ((*record)->version.value() > held_.version().value()) {
      // Changed after the version in force: asked for again once that change
      // is in force here.
      continue;
    } else {
      held_.FillOne(*record);
      changed = true;
    }
    wants_.Done(name);
    const bool exists = record != nullptr && !(*record)->bytes.empty();
    answers.push_back(
        workspace_answer{workspace_id(std::string(NameInKind(name))), exists});
  }
  if (changed) Publish(out);
  out.insert(out.end(), answers.begin(), answers.end());
}

}  // namespace marjoramsill
