#include "process/claims/claim_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "process/claims/claim_bounds.h"
#include "process/claims/claim_fields.h"
#include "process/claims/claim_key.h"
#include "process/claims/claim_owner.h"
#include "process/claims/claim_state.h"
#include "process/claims/claim_time.h"
#include "process/claims/content_hash.h"
#include "process/claims/stored_response.h"

namespace marjoramsill {
namespace {

// A released record serves only to refuse delayed copies of the released claim,
// so it is kept for longer than a message can be delayed.
constexpr std::chrono::milliseconds kReleasedRetention =
    std::chrono::minutes(10);

claim_time After(claim_time start, std::chrono::milliseconds wait) {
  return claim_time(start.value() + static_cast<std::uint64_t>(wait.count()));
}

bool IsDuplicateOfReleased(const claim_owner& claim,
                           const claim_owner& released) {
  return claim.vm == released.vm && claim.incarnation == released.incarnation &&
         claim.serial <= released.serial;
}

}  // namespace

bool claim_table::expiry::operator<(const expiry& other) const {
  return std::tie(at, *key) < std::tie(other.at, *other.key);
}

claim_table::claim_table(claim_table_limits limits) : limits_(limits) {}

result<claim_response, claim_decode_error> claim_table::Apply(
    std::string_view bytes) {
  const auto command = DecodeClaimCommand(bytes);
  if (!command) return failure(command.error());
  return Apply(command.value());
}

claim_response claim_table::Apply(const claim_command& command) {
  time_ = std::max(time_, command.time);
  claim_response output;
  output.kind = command.kind;
  output.incarnation = command.owner.incarnation;
  output.serial = command.owner.serial;
  switch (command.kind) {
    case claim_command_kind::kClaim:
      ApplyClaim(command, output);
      break;
    case claim_command_kind::kFinish:
      ApplyFinish(command, output);
      break;
    case claim_command_kind::kMarkUnknown:
      ApplyMarkUnknown(command, output);
      break;
    case claim_command_kind::kRelease:
      ApplyRelease(command, output);
      break;
    case claim_command_kind::kLookUp:
      ApplyLookUp(command, output);
      break;
    case claim_command_kind::kExpire:
      ApplyExpire(command, output);
      break;
  }
  return output;
}

// An expired record counts as absent even before kExpire removes it, so that
// outcomes do not depend on how often a leader proposes kExpire.
claim_table::record* claim_table::Find(const claim_key& key) {
  const auto position = records_.find(key);
  if (position == records_.end()) return nullptr;
  if (position->second.expires <= time_) {
    Erase(position);
    return nullptr;
  }
  return &position->second;
}

void claim_table::SetExpiry(const claim_key& key, record& entry,
                            claim_time at) {
  expiries_.erase(expiry{entry.expires, &key});
  entry.expires = at;
  expiries_.insert(expiry{at, &key});
}

void claim_table::Erase(record_map::iterator position) {
  record& entry = position->second;
  expiries_.erase(expiry{entry.expires, &position->first});
  body_bytes_ -= entry.body_bytes;
  records_.erase(position);
}

void claim_table::PutRecord(const claim_command& command, claim_state state) {
  const auto position = records_.try_emplace(command.key).first;
  record& entry = position->second;
  entry.request_hash = command.request_hash;
  entry.owner = command.owner;
  entry.state = state;
  const auto allowed = std::clamp(
      command.deadline_in, std::chrono::milliseconds(0), kMaxClaimDeadline);
  entry.deadline = After(time_, allowed);
  const claim_time expires = state == claim_state::kReleased
                                 ? After(time_, kReleasedRetention)
                                 : After(entry.deadline, command.retention);
  SetExpiry(position->first, entry, expires);
}

void claim_table::StoreResponse(record& entry,
                                const stored_response& response) {
  stored_response stored = response;
  if (stored.body.size() > kMaxStoredBodyBytes ||
      body_bytes_ + stored.body.size() > limits_.max_body_bytes) {
    DropBody(stored);
  }
  entry.body_bytes = static_cast<std::uint32_t>(stored.body.size());
  body_bytes_ += entry.body_bytes;
  entry.response = EncodeResponse(stored);
}

void claim_table::FillFromRecord(const record& entry, const content_hash& hash,
                                 claim_response& output) const {
  if (entry.state == claim_state::kReleased) {
    output.outcome = claim_outcome::kClaimReleased;
  } else if (entry.request_hash != hash) {
    output.outcome = claim_outcome::kKeyReused;
  } else if (entry.state == claim_state::kFinished) {
    output.outcome = claim_outcome::kFinished;
    output.response = DecodeTrustedResponse(entry.response);
  } else if (entry.state == claim_state::kClaimed && entry.deadline > time_) {
    output.outcome = claim_outcome::kInProgress;
    output.deadline_in = std::chrono::milliseconds(
        static_cast<std::int64_t>(entry.deadline.value() - time_.value()));
  } else {
    output.outcome = claim_outcome::kOutcomeUnknown;
  }
}

// A command from a newer incarnation of the owner's VM proves that the
// owner does not exist any more, so its deadline need not be awaited.
void claim_table::MarkLostOwnerUnknown(record& entry,
                                       const claim_command& command) {
  if (entry.state == claim_state::kClaimed &&
      entry.owner.vm == command.owner.vm &&
      entry.owner.incarnation < command.owner.incarnation) {
    entry.state = claim_state::kUnknown;
  }
}

void claim_table::ApplyClaim(const claim_command& command,
                             claim_response& output) {
  record* entry = Find(command.key);
  if (entry == nullptr) {
    if (records_.size() >= limits_.max_records) {
      output.outcome = claim_outcome::kFull;
      return;
    }
    PutRecord(command, claim_state::kClaimed);
    output.outcome = claim_outcome::kGranted;
    return;
  }
  if (entry->state == claim_state::kReleased) {
    if (IsDuplicateOfReleased(command.owner, entry->owner)) {
      output.outcome = claim_outcome::kClaimReleased;
      return;
    }
    PutRecord(command, claim_state::kClaimed);
    output.outcome = claim_outcome::kGranted;
    return;
  }
  if (entry->state == claim_state::kClaimed && entry->owner == command.owner &&
      entry->request_hash == command.request_hash) {
    output.outcome = claim_outcome::kGranted;  // The first response was lost.
    return;
  }
  MarkLostOwnerUnknown(*entry, command);
  FillFromRecord(*entry, command.request_hash, output);
}

void claim_table::ApplyFinish(const claim_command& command,
                              claim_response& output) {
  record* entry = Find(command.key);
  if (entry == nullptr) {
    output.outcome = claim_outcome::kAbsent;
    return;
  }
  if (entry->owner != command.owner || entry->state == claim_state::kReleased) {
    output.outcome = claim_outcome::kNotOwner;
    return;
  }
  output.outcome = claim_outcome::kDone;
  if (entry->state == claim_state::kFinished) return;
  StoreResponse(*entry, command.response);
  entry->state = claim_state::kFinished;
  SetExpiry(records_.find(command.key)->first, *entry,
            std::max(entry->expires, After(time_, command.retention)));
}

void claim_table::ApplyMarkUnknown(const claim_command& command,
                                   claim_response& output) {
  record* entry = Find(command.key);
  if (entry == nullptr) {
    output.outcome = claim_outcome::kAbsent;
    return;
  }
  if (entry->owner != command.owner || entry->state == claim_state::kReleased) {
    output.outcome = claim_outcome::kNotOwner;
    return;
  }
  // A finished record stays finished: a kFinish was applied before this
  // command.
  if (entry->state == claim_state::kClaimed) {
    entry->state = claim_state::kUnknown;
  }
  output.outcome = claim_outcome::kDone;
}

void claim_table::ApplyRelease(const claim_command& command,
                               claim_response& output) {
  record* entry = Find(command.key);
  output.outcome = claim_outcome::kDone;
  if (entry == nullptr) {
    // The release arrived before its claim. The released record refuses the
    // claim later. A full table refuses the claim anyway.
    if (records_.size() < limits_.max_records) {
      PutRecord(command, claim_state::kReleased);
    }
    return;
  }
  if (entry->owner != command.owner || entry->state == claim_state::kFinished ||
      entry->state == claim_state::kUnknown) {
    output.outcome = claim_outcome::kNotOwner;
    return;
  }
  PutRecord(command, claim_state::kReleased);
}

void claim_table::ApplyLookUp(const claim_command& command,
                              claim_response& output) {
  record* entry = Find(command.key);
  if (entry == nullptr) {
    output.outcome = claim_outcome::kAbsent;
    return;
  }
  MarkLostOwnerUnknown(*entry, command);
  FillFromRecord(*entry, command.request_hash, output);
}

void claim_table::ApplyExpire(const claim_command& command,
                              claim_response& output) {
  output.outcome = claim_outcome::kDone;
  while (output.removed < command.limit && !expiries_.empty() &&
         expiries_.begin()->at <= time_) {
    Erase(records_.find(*expiries_.begin()->key));
    ++output.removed;
  }
}

}  // namespace marjoramsill
