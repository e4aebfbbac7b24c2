// Applies received messages.

#include <algorithm>

#include "process/membership/holder_hash.h"
#include "process/membership/peer_membership.h"

namespace marjoramsill {

// The echo is a timestamp of this VM. By this VM's clock, the sender received
// it after that time and kept it for held_ms before it sent the message.
std::optional<steady_time> peer_membership::EarliestSendTime(
    const peer_message& message, steady_time now) const {
  if (message.echo_incarnation != self_.incarnation || message.echo_ms == 0) {
    return std::nullopt;
  }
  const std::uint64_t latest = ToTimestamp(now);
  if (message.echo_ms > latest || message.held_ms > latest - message.echo_ms) {
    return std::nullopt;
  }
  return steady_time(
      std::chrono::milliseconds(message.echo_ms + message.held_ms));
}

void peer_membership::Receive(peer_state& peer, const peer_message& message,
                              steady_time now) {
  if (peer.incarnation != message.from.incarnation) {
    peer.incarnation = message.from.incarnation;
    peer.update_cursor = 0;
  }
  peer.timestamp_ms = message.timestamp_ms;
  peer.timestamp_received_at = now;
  const auto sent = EarliestSendTime(message, now);
  // A message that was delayed for long doesn't count as an exchange.
  if (!sent.has_value() || now - *sent < settings_.unreachable_after) {
    peer.last_exchange = now;
  }
  ApplyHeartbeats(peer, message, sent, now);
  ApplyChanges(peer, message, now);
  ApplyRecords(peer, message, now);
  CompareDigests(peer, message, sent, now);
  ApplyPositions(peer, message, now);
  for (const failure_domain_id& domain : message.position_requests) {
    if (!IsKnownDomain(domain)) continue;
    peer.requested_positions.insert(domain);
    peer.position_cursor = 0;
  }
  // The next message to the peer contains the response, whichever VM initiates
  // the exchange.
  if (!message.record_requests.empty()) {
    peer.requested_records = message.record_requests;
  }
}

void peer_membership::ApplyHeartbeats(peer_state& peer,
                                      const peer_message& message,
                                      std::optional<steady_time> sent,
                                      steady_time now) {
  holder_state* sender = FindOrAddHolder(
      message.from, sent.value_or(now - settings_.unreachable_after));
  if (sender == nullptr) return;
  for (const holder_heartbeat& heartbeat : message.heartbeats) {
    holder_state* holder =
        heartbeat.holder == 0 ? sender : FindHolder(heartbeat.holder);
    if (holder == nullptr) {
      // The reference is unknown; only positions contain the full holder id.
      peer.positions_to_request.insert(peer.vm.domain);
      continue;
    }
    if (holder->id == self_) continue;
    ApplyHeartbeat(peer, *holder, heartbeat, sent, now);
  }
}

void peer_membership::ApplyHeartbeat(peer_state& peer, holder_state& holder,
                                     const holder_heartbeat& heartbeat,
                                     std::optional<steady_time> sent,
                                     steady_time now) {
  if (heartbeat.version > newest_version_) {
    newest_version_ = heartbeat.version;
    newest_version_holder_ = holder.id.vm;
  }
  holder.version = std::max(holder.version, heartbeat.version);
  RecordAnnouncedChange(peer, holder, heartbeat.summary.sequence, now);
  if (!sent.has_value()) return;
  const steady_time as_of = *sent - heartbeat.summary.age;
  holder.alive_at = std::max(holder.alive_at, as_of);
  if (holder.as_of.has_value() && as_of <= *holder.as_of) return;
  if (heartbeat.summary.sequence < holder.applied) return;
  holder.as_of = as_of;
  holder.summary = heartbeat.summary;
  ApplyLatestSummary(holder, now);
}

void peer_membership::ApplyLatestSummary(holder_state& holder,
                                         steady_time now) {
  if (!holder.as_of.has_value() || holder.summary.sequence != holder.applied) {
    return;
  }
  if (registry_.ApplySummary(holder.id, holder.summary, *holder.as_of, now)) {
    holder.differs_since.reset();
  } else if (!holder.differs_since.has_value()) {
    holder.differs_since = now;
  } else if (now - *holder.differs_since > settings_.resync_after_mismatch) {
    holder.differs_since.reset();
    holder.applied = 0;
    holder.lagging_since = now;
  }
}

void peer_membership::RecordAnnouncedChange(peer_state& peer,
                                            holder_state& holder,
                                            std::uint64_t sequence,
                                            steady_time now) {
  if (holder.applied >= sequence || sequence < holder.announced) return;
  holder.announced = sequence;
  holder.announced_by = peer.vm.id;
  if (!holder.lagging_since.has_value()) holder.lagging_since = now;
  peer.records_to_request.insert(MakeHolderRef(holder.id));
}

void peer_membership::Advance(holder_state& holder, std::uint64_t sequence,
                              steady_time now) {
  holder.applied = std::max(holder.applied, sequence);
  if (holder.applied >= holder.announced) holder.lagging_since.reset();
  ApplyLatestSummary(holder, now);
}

void peer_membership::ApplyChanges(peer_state& peer,
                                   const peer_message& message,
                                   steady_time now) {
  for (const holder_change& change : message.changes) {
    if (change.holder == self_) continue;
    holder_state* holder =
        FindOrAddHolder(change.holder, now - settings_.unreachable_after);
    if (holder == nullptr || change.lease.sequence <= holder->applied) continue;
    if (change.previous_sequence > holder->applied) {
      RecordAnnouncedChange(peer, *holder, change.lease.sequence, now);
      continue;
    }
    registry_.ApplyRecord(change.holder, change.lease, now);
    if (holder->listed_ids.has_value()) {
      holder->listed_ids->insert(change.lease.endpoint.id);
    }
    Advance(*holder, change.lease.sequence, now);
    AddUpdate(change, *holder, peer.vm.id, now);
  }
}

void peer_membership::ApplyRecords(peer_state& peer,
                                   const peer_message& message,
                                   steady_time now) {
  for (const record_list& list : message.records) {
    if (list.holder == self_) continue;
    holder_state* holder =
        FindOrAddHolder(list.holder, now - settings_.unreachable_after);
    if (holder == nullptr || list.after > holder->applied ||
        list.sequence <= holder->applied) {
      continue;
    }
    if (list.after == 0) holder->listed_ids.emplace();
    std::uint64_t before = list.after;
    for (const lease_record& record : list.records) {
      registry_.ApplyRecord(list.holder, record, now);
      AddUpdate({list.holder, before, record}, *holder, peer.vm.id, now);
      before = record.sequence;
      if (holder->listed_ids.has_value()) {
        holder->listed_ids->insert(record.endpoint.id);
      }
    }
    if (list.complete && holder->listed_ids.has_value()) {
      registry_.RetainRecords(list.holder, *holder->listed_ids);
      holder->listed_ids.reset();
    }
    Advance(*holder, list.sequence, now);
    holder->requested_at.reset();
    if (holder->applied < holder->announced) {
      RecordAnnouncedChange(peer, *holder, holder->announced, now);
    }
  }
}

// Digests differ temporarily whenever a change is in transit. Equal digests
// from a VM of that failure domain are evidence that all of its holders run.
void peer_membership::CompareDigests(peer_state& peer,
                                     const peer_message& message,
                                     std::optional<steady_time> sent,
                                     steady_time now) {
  for (const domain_digest& digest : message.digests) {
    if (!IsKnownDomain(digest.domain)) continue;
    digest_mismatch& seen = mismatches_[digest.domain];
    if (DigestOf(digest.domain) == digest.hash) {
      seen.since.reset();
      if (!sent.has_value() || IsFullMesh() ||
          digest.domain != peer.vm.domain ||
          digest.domain == settings_.self.domain) {
        continue;
      }
      for (auto& [ref, holder] : holders_) {
        if (holder.domain != digest.domain || holder.applied == 0) continue;
        holder.alive_at = std::max(holder.alive_at, *sent);
      }
      continue;
    }
    if (!seen.since.has_value()) {
      seen.since = now;
      seen.delay = settings_.mismatch_delay;
    }
    if (now - *seen.since < seen.delay) continue;
    seen.since = now;
    seen.delay = std::min(seen.delay * 2, settings_.max_mismatch_delay);
    peer.positions_to_request.insert(digest.domain);
    urgent_peers_.insert(peer.vm.id);
  }
}

void peer_membership::ApplyPositions(peer_state& peer,
                                     const peer_message& message,
                                     steady_time now) {
  for (const holder_position& position : message.positions) {
    if (position.holder == self_) continue;
    const std::chrono::seconds silence(position.silent_s);
    // Doesn't add a holder that its own failure domain is about to remove;
    // otherwise VMs that have removed it would add it again from each other's
    // positions indefinitely.
    if (silence * 2 > settings_.remove_holder_after) continue;
    holder_state* holder = FindOrAddHolder(position.holder, now - silence);
    if (holder == nullptr) continue;
    RecordAnnouncedChange(peer, *holder, position.sequence, now);
  }
}

}  // namespace marjoramsill
