// What a message from a peer teaches.

#include <algorithm>

#include "process/membership/holder_hash.h"
#include "process/membership/peer_membership.h"

namespace marjoramsill {

// The echo is a stamp of this VM. By this VM's clock the sender received it
// after that time and held it for held_ms.
std::optional<steady_time> peer_membership::SentNoEarlierThan(
    const peer_message& message, steady_time now) const {
  if (message.echo_life != self_.life || message.echo_ms == 0) {
    return std::nullopt;
  }
  const std::uint64_t latest = StampOf(now);
  if (message.echo_ms > latest || message.held_ms > latest - message.echo_ms) {
    return std::nullopt;
  }
  return steady_time(
      std::chrono::milliseconds(message.echo_ms + message.held_ms));
}

void peer_membership::Receive(peer_state& peer, const peer_message& message,
                              steady_time now) {
  if (peer.life != message.from.life) {
    peer.life = message.from.life;
    peer.news_cursor = 0;
  }
  peer.stamp_ms = message.stamp_ms;
  peer.stamp_at = now;
  const auto sent = SentNoEarlierThan(message, now);
  // A message that was long on its way doesn't replace an exchange.
  if (!sent.has_value() || now - *sent < settings_.cut_off_after) {
    peer.last_exchange = now;
  }
  HearBeats(peer, message, sent, now);
  HearChanges(peer, message, now);
  HearRecords(peer, message, now);
  HearDigests(peer, message, sent, now);
  HearPositions(peer, message, now);
  for (const failure_domain_id& domain : message.wanted_positions) {
    if (!IsKnownDomain(domain)) continue;
    peer.asked_positions.insert(domain);
    peer.told_position = 0;
  }
  // Answered in the next message, whichever VM opens the exchange.
  if (!message.wanted_records.empty()) {
    peer.asked_records = message.wanted_records;
  }
}

void peer_membership::HearBeats(peer_state& peer, const peer_message& message,
                                std::optional<steady_time> sent,
                                steady_time now) {
  holder_state* sender =
      Meet(message.from, sent.value_or(now - settings_.cut_off_after));
  if (sender == nullptr) return;
  for (const peer_beat& beat : message.beats) {
    holder_state* holder = beat.holder == 0 ? sender : FindHolder(beat.holder);
    if (holder == nullptr) {
      // Only positions name the holder behind a reference.
      peer.unclear.insert(peer.vm.domain);
      continue;
    }
    if (holder->id == self_) continue;
    HearBeat(peer, *holder, beat, sent, now);
  }
}

void peer_membership::HearBeat(peer_state& peer, holder_state& holder,
                               const peer_beat& beat,
                               std::optional<steady_time> sent,
                               steady_time now) {
  if (beat.version > newest_version_) {
    newest_version_ = beat.version;
    newest_holder_ = holder.id.vm;
  }
  holder.version = std::max(holder.version, beat.version);
  HearAnnounced(peer, holder, beat.vouch.change, now);
  if (!sent.has_value()) return;
  const steady_time as_of = *sent - beat.vouch.age;
  holder.alive_at = std::max(holder.alive_at, as_of);
  if (holder.as_of.has_value() && as_of <= *holder.as_of) return;
  if (beat.vouch.change < holder.change) return;
  holder.as_of = as_of;
  holder.vouch = beat.vouch;
  Trust(holder, now);
}

void peer_membership::Trust(holder_state& holder, steady_time now) {
  if (!holder.as_of.has_value() || holder.vouch.change != holder.change) {
    return;
  }
  if (registry_.ApplyVouch(holder.id, holder.vouch, *holder.as_of, now)) {
    holder.differs_since.reset();
  } else if (!holder.differs_since.has_value()) {
    holder.differs_since = now;
  } else if (now - *holder.differs_since > settings_.longest_difference) {
    holder.differs_since.reset();
    holder.change = 0;
    holder.lagging_since = now;
  }
}

void peer_membership::HearAnnounced(peer_state& peer, holder_state& holder,
                                    std::uint64_t change, steady_time now) {
  if (holder.change >= change || change < holder.announced) return;
  holder.announced = change;
  holder.named_by = peer.vm.id;
  if (!holder.lagging_since.has_value()) holder.lagging_since = now;
  peer.lacking.insert(RefOf(holder.id));
}

void peer_membership::Advance(holder_state& holder, std::uint64_t change,
                              steady_time now) {
  holder.change = std::max(holder.change, change);
  if (holder.change >= holder.announced) holder.lagging_since.reset();
  Trust(holder, now);
}

void peer_membership::HearChanges(peer_state& peer, const peer_message& message,
                                  steady_time now) {
  for (const holder_change& change : message.changes) {
    if (change.holder == self_) continue;
    holder_state* holder = Meet(change.holder, now - settings_.cut_off_after);
    if (holder == nullptr || change.record.change <= holder->change) continue;
    if (change.after > holder->change) {
      HearAnnounced(peer, *holder, change.record.change, now);
      continue;
    }
    registry_.ApplyRecord(change.holder, change.record, now);
    if (holder->listed.has_value()) {
      holder->listed->insert(change.record.endpoint.id);
    }
    Advance(*holder, change.record.change, now);
    AddNews(change, *holder, peer.vm.id, now);
  }
}

void peer_membership::HearRecords(peer_state& peer, const peer_message& message,
                                  steady_time now) {
  for (const record_list& list : message.records) {
    if (list.holder == self_) continue;
    holder_state* holder = Meet(list.holder, now - settings_.cut_off_after);
    if (holder == nullptr || list.after > holder->change ||
        list.change <= holder->change) {
      continue;
    }
    if (list.after == 0) holder->listed.emplace();
    std::uint64_t before = list.after;
    for (const lease_record& record : list.records) {
      registry_.ApplyRecord(list.holder, record, now);
      AddNews({list.holder, before, record}, *holder, peer.vm.id, now);
      before = record.change;
      if (holder->listed.has_value()) {
        holder->listed->insert(record.endpoint.id);
      }
    }
    if (list.complete && holder->listed.has_value()) {
      registry_.RetainRecords(list.holder, *holder->listed);
      holder->listed.reset();
    }
    Advance(*holder, list.change, now);
    holder->asked_at.reset();
    if (holder->change < holder->announced) {
      HearAnnounced(peer, *holder, holder->announced, now);
    }
  }
}

// Digests differ for a while whenever a change is on its way. Equal ones from
// a VM of that failure domain show that its holders run, without naming them.
void peer_membership::HearDigests(peer_state& peer, const peer_message& message,
                                  std::optional<steady_time> sent,
                                  steady_time now) {
  for (const domain_digest& digest : message.digests) {
    if (!IsKnownDomain(digest.domain)) continue;
    mismatch& seen = mismatches_[digest.domain];
    if (DigestOf(digest.domain) == digest.hash) {
      seen.since.reset();
      if (!sent.has_value() || IsDirect() || digest.domain != peer.vm.domain ||
          digest.domain == settings_.self.domain) {
        continue;
      }
      for (auto& [ref, holder] : holders_) {
        if (holder.domain != digest.domain || holder.change == 0) continue;
        holder.alive_at = std::max(holder.alive_at, *sent);
      }
      continue;
    }
    if (!seen.since.has_value()) {
      seen.since = now;
      seen.patience = settings_.digest_patience;
    }
    if (now - *seen.since < seen.patience) continue;
    seen.since = now;
    seen.patience = std::min(seen.patience * 2, settings_.longest_patience);
    peer.unclear.insert(digest.domain);
    urgent_.insert(peer.vm.id);
  }
}

void peer_membership::HearPositions(peer_state& peer,
                                    const peer_message& message,
                                    steady_time now) {
  for (const holder_position& position : message.positions) {
    if (position.holder == self_) continue;
    const std::chrono::seconds silence(position.silent_s);
    // A holder that its own failure domain has nearly forgotten is not met
    // again, or forgetful VMs would remind each other of it for ever.
    if (silence * 2 > settings_.forget_holder) continue;
    holder_state* holder = Meet(position.holder, now - silence);
    if (holder == nullptr) continue;
    HearAnnounced(peer, *holder, position.change, now);
  }
}

}  // namespace marjoramsill
