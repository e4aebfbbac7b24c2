// What a message to a peer says.

#include <algorithm>

#include "process/membership/holder_hash.h"
#include "process/membership/peer_membership.h"

namespace marjoramsill {
namespace {

constexpr std::size_t kMaxWants = 16;
constexpr std::size_t kMaxPositions = 64;
constexpr std::size_t kPositionBytes = 32;

std::chrono::milliseconds CeilMs(std::chrono::microseconds duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

}  // namespace

std::string peer_membership::Build(peer_state& peer, steady_time now) {
  peer_message message;
  message.from = self_;
  message.sequence = ++sequence_;
  message.stamp_ms = StampOf(now);
  if (peer.life.has_value()) {
    message.echo_life = *peer.life;
    message.echo_ms = peer.stamp_ms;
    message.held_ms = static_cast<std::uint64_t>(
        std::chrono::floor<std::chrono::milliseconds>(now - peer.stamp_at)
            .count());
  }
  TellBeats(peer, now, message);
  TellDigests(peer, message);
  TellWants(peer, now, message);
  const std::size_t room = static_cast<std::size_t>(std::clamp<std::int64_t>(
      budget_.Available(now), 0,
      std::max<std::int64_t>(0, news_budget_.Available(now))));
  std::size_t news = TellNews(peer, room, message);
  news += TellRecords(peer, room - std::min(room, news), message);
  news += TellPositions(peer, now, room - std::min(room, news), message);
  news_budget_.Charge(static_cast<std::int64_t>(news), now);
  std::string body = EncodePeerMessage(message);
  const std::size_t bytes = body.size() + settings_.framing_bytes;
  budget_.Charge(static_cast<std::int64_t>(bytes), now);
  bytes_sent_ += bytes;
  ++messages_sent_;
  return body;
}

void peer_membership::TellBeats(const peer_state& peer, steady_time now,
                                peer_message& message) {
  message.beats.push_back({RefOf(self_), version_, registry_.MakeVouch(now)});
  if (!peer.is_far) return;
  for (const vm_id& id : neighbourhood_) {
    const holder_state* holder = LatestLife(id);
    if (holder == nullptr || !holder->as_of.has_value()) continue;
    const auto age = now - *holder->as_of;
    if (age >= settings_.cut_off_after) continue;
    peer_beat beat{RefOf(holder->id), holder->version, holder->vouch};
    beat.vouch.age = CeilMs(age);
    message.beats.push_back(std::move(beat));
  }
}

std::size_t peer_membership::TellNews(peer_state& peer, std::size_t room,
                                      peer_message& message) {
  const bool remote = !IsDirect() && peer.vm.domain != settings_.self.domain;
  std::size_t used = 0;
  for (news_item& item : news_) {
    if (item.number <= peer.news_cursor) continue;
    std::uint32_t& pushes = remote ? item.remote_pushes : item.pushes;
    const bool wanted = pushes > 0 && item.learned_from != peer.vm.id &&
                        item.change.holder.vm != peer.vm.id;
    if (wanted) {
      const std::size_t size = EncodedSize(item.change);
      if (used + size > room) break;
      used += size;
      --pushes;
      message.changes.push_back(item.change);
    }
    peer.news_cursor = item.number;
  }
  return used;
}

record_list peer_membership::ListRecords(const holder_state& holder,
                                         std::uint64_t after,
                                         std::size_t room) const {
  record_list list;
  list.holder = holder.id;
  list.after = after;
  list.change = after;
  list.complete = true;
  std::size_t used = 0;
  for (lease_record& record : registry_.RecordsOf(holder.id, after)) {
    if (record.change > holder.change) break;
    used += EncodedSize(record);
    // One record always goes, so that a small budget can't stop a list.
    if (used > room && !list.records.empty()) {
      list.complete = false;
      break;
    }
    list.change = record.change;
    list.records.push_back(std::move(record));
  }
  if (list.complete) list.change = std::max(after, holder.change);
  return list;
}

std::size_t peer_membership::TellRecords(peer_state& peer, std::size_t room,
                                         peer_message& message) {
  std::size_t total = 0;
  for (const record_request& asked : peer.asked_records) {
    const holder_state* holder = FindHolder(asked.holder);
    if (holder == nullptr || holder->change <= asked.after) continue;
    if (room < 100) break;
    record_list list = ListRecords(*holder, asked.after, room);
    std::size_t used = 0;
    for (const lease_record& record : list.records) {
      used += EncodedSize(record);
    }
    room -= std::min(room, used + 32);
    total += used + 32;
    message.records.push_back(std::move(list));
  }
  // What found no room is asked for again.
  peer.asked_records.clear();
  return total;
}

void peer_membership::TellDigests(const peer_state& peer,
                                  peer_message& message) {
  const failure_domain_id& own = settings_.self.domain;
  if (!IsDirect() && peer.vm.domain != own) {
    message.digests.push_back({own, DigestOf(own)});
    return;
  }
  const failure_domain_id& domain = domains_[next_digest_++ % domains_.size()];
  message.digests.push_back({domain, DigestOf(domain)});
}

std::size_t peer_membership::TellPositions(peer_state& peer, steady_time now,
                                           std::size_t room,
                                           peer_message& message) {
  const std::size_t limit = std::min(kMaxPositions, room / kPositionBytes);
  if (peer.asked_positions.empty() || limit == 0) return 0;
  auto it = holders_.upper_bound(peer.told_position);
  for (; it != holders_.end(); ++it) {
    const holder_state& holder = it->second;
    if (!peer.asked_positions.contains(holder.domain)) continue;
    // The rest goes with the next messages.
    if (message.positions.size() >= limit) break;
    const auto silence =
        std::chrono::floor<std::chrono::seconds>(now - holder.alive_at);
    message.positions.push_back(
        {holder.id, holder.change,
         static_cast<std::uint32_t>(
             std::max<std::int64_t>(0, silence.count()))});
    peer.told_position = it->first;
  }
  if (it == holders_.end()) peer.asked_positions.clear();
  return message.positions.size() * kPositionBytes;
}

void peer_membership::TellWants(peer_state& peer, steady_time now,
                                peer_message& message) {
  for (const failure_domain_id& domain : peer.unclear) {
    auto& asked_at = mismatches_[domain].asked_at;
    if (asked_at.has_value() &&
        now - *asked_at < settings_.positions_interval) {
      continue;
    }
    asked_at = now;
    message.wanted_positions.push_back(domain);
  }
  peer.unclear.clear();
  for (auto it = peer.lacking.begin(); it != peer.lacking.end();) {
    holder_state* holder = FindHolder(*it);
    if (holder == nullptr || holder->change >= holder->announced) {
      it = peer.lacking.erase(it);
      continue;
    }
    if (message.wanted_records.size() >= kMaxWants) return;
    // Another peer may be about to answer the same question.
    if (holder->asked_at.has_value() &&
        now - *holder->asked_at < settings_.retry_interval) {
      ++it;
      continue;
    }
    holder->asked_at = now;
    message.wanted_records.push_back({*it, holder->change});
    it = peer.lacking.erase(it);
  }
}

}  // namespace marjoramsill
