// Builds messages to peers.

#include <algorithm>

#include "process/membership/holder_hash.h"
#include "process/membership/peer_membership.h"

namespace marjoramsill {
namespace {

constexpr std::size_t kMaxRecordRequests = 16;
constexpr std::size_t kMaxPositions = 64;
constexpr std::size_t kPositionBytes = 32;

std::chrono::milliseconds CeilMs(std::chrono::microseconds duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

}  // namespace

std::string peer_membership::BuildMessage(peer_state& peer, steady_time now) {
  peer_message message;
  message.from = self_;
  message.sequence = ++sequence_;
  message.timestamp_ms = ToTimestamp(now);
  if (peer.incarnation.has_value()) {
    message.echo_incarnation = *peer.incarnation;
    message.echo_ms = peer.timestamp_ms;
    message.held_ms = static_cast<std::uint64_t>(
        std::chrono::floor<std::chrono::milliseconds>(
            now - peer.timestamp_received_at)
            .count());
  }
  AppendHeartbeats(peer, now, message);
  AppendDigests(peer, message);
  AppendRequests(peer, now, message);
  const std::size_t remaining_bytes =
      static_cast<std::size_t>(std::clamp<std::int64_t>(
          budget_.Available(now), 0,
          std::max<std::int64_t>(0, update_budget_.Available(now))));
  std::size_t update_bytes = AppendUpdates(peer, remaining_bytes, message);
  update_bytes += AppendRecords(
      peer, remaining_bytes - std::min(remaining_bytes, update_bytes), message);
  update_bytes += AppendPositions(
      peer, now, remaining_bytes - std::min(remaining_bytes, update_bytes),
      message);
  update_budget_.Charge(static_cast<std::int64_t>(update_bytes), now);
  std::string body = EncodePeerMessage(message);
  const std::size_t bytes = body.size() + settings_.framing_bytes;
  budget_.Charge(static_cast<std::int64_t>(bytes), now);
  bytes_sent_ += bytes;
  ++messages_sent_;
  return body;
}

void peer_membership::AppendHeartbeats(const peer_state& peer, steady_time now,
                                       peer_message& message) {
  message.heartbeats.push_back(
      {MakeHolderRef(self_), version_, registry_.BuildSummary(now)});
  if (!peer.is_far_partner) return;
  for (const vm_id& id : neighbours_) {
    const holder_state* holder = LatestHolder(id);
    if (holder == nullptr || !holder->as_of.has_value()) continue;
    const auto age = now - *holder->as_of;
    if (age >= settings_.unreachable_after) continue;
    holder_heartbeat heartbeat{MakeHolderRef(holder->id), holder->version,
                               holder->summary};
    heartbeat.summary.age = CeilMs(age);
    message.heartbeats.push_back(std::move(heartbeat));
  }
}

std::size_t peer_membership::AppendUpdates(peer_state& peer,
                                           std::size_t remaining_bytes,
                                           peer_message& message) {
  const bool remote = !IsFullMesh() && peer.vm.domain != settings_.self.domain;
  std::size_t used = 0;
  for (pending_update& item : updates_) {
    if (item.number <= peer.update_cursor) continue;
    std::uint32_t& sends_left =
        remote ? item.remote_sends_left : item.sends_left;
    const bool is_needed = sends_left > 0 && item.received_from != peer.vm.id &&
                           item.change.holder.vm != peer.vm.id;
    if (is_needed) {
      const std::size_t size = EncodedSize(item.change);
      if (used + size > remaining_bytes) break;
      used += size;
      --sends_left;
      message.changes.push_back(item.change);
    }
    peer.update_cursor = item.number;
  }
  return used;
}

record_list peer_membership::ListRecords(const holder_state& holder,
                                         std::uint64_t after,
                                         std::size_t remaining_bytes) const {
  record_list list;
  list.holder = holder.id;
  list.after = after;
  list.sequence = after;
  list.complete = true;
  std::size_t used = 0;
  for (lease_record& record : registry_.RecordsOf(holder.id, after)) {
    if (record.sequence > holder.applied) break;
    used += EncodedSize(record);
    // Always includes at least one record, so that a small budget can't block
    // the transfer.
    if (used > remaining_bytes && !list.records.empty()) {
      list.complete = false;
      break;
    }
    list.sequence = record.sequence;
    list.records.push_back(std::move(record));
  }
  if (list.complete) list.sequence = std::max(after, holder.applied);
  return list;
}

std::size_t peer_membership::AppendRecords(peer_state& peer,
                                           std::size_t remaining_bytes,
                                           peer_message& message) {
  std::size_t total = 0;
  for (const record_request& request : peer.requested_records) {
    const holder_state* holder = FindHolder(request.holder);
    if (holder == nullptr || holder->applied <= request.after) continue;
    if (remaining_bytes < 100) break;
    record_list list = ListRecords(*holder, request.after, remaining_bytes);
    std::size_t used = 0;
    for (const lease_record& record : list.records) {
      used += EncodedSize(record);
    }
    remaining_bytes -= std::min(remaining_bytes, used + 32);
    total += used + 32;
    message.records.push_back(std::move(list));
  }
  // The peer requests again what didn't fit.
  peer.requested_records.clear();
  return total;
}

void peer_membership::AppendDigests(const peer_state& peer,
                                    peer_message& message) {
  const failure_domain_id& own = settings_.self.domain;
  if (!IsFullMesh() && peer.vm.domain != own) {
    message.digests.push_back({own, DigestOf(own)});
    return;
  }
  const failure_domain_id& domain = domains_[next_digest_++ % domains_.size()];
  message.digests.push_back({domain, DigestOf(domain)});
}

std::size_t peer_membership::AppendPositions(peer_state& peer, steady_time now,
                                             std::size_t remaining_bytes,
                                             peer_message& message) {
  const std::size_t limit =
      std::min(kMaxPositions, remaining_bytes / kPositionBytes);
  if (peer.requested_positions.empty() || limit == 0) return 0;
  auto it = holders_.upper_bound(peer.position_cursor);
  for (; it != holders_.end(); ++it) {
    const holder_state& holder = it->second;
    if (!peer.requested_positions.contains(holder.domain)) continue;
    // The next messages contain the rest.
    if (message.positions.size() >= limit) break;
    const auto silence =
        std::chrono::floor<std::chrono::seconds>(now - holder.alive_at);
    message.positions.push_back(
        {holder.id, holder.applied,
         static_cast<std::uint32_t>(
             std::max<std::int64_t>(0, silence.count()))});
    peer.position_cursor = it->first;
  }
  if (it == holders_.end()) peer.requested_positions.clear();
  return message.positions.size() * kPositionBytes;
}

void peer_membership::AppendRequests(peer_state& peer, steady_time now,
                                     peer_message& message) {
  for (const failure_domain_id& domain : peer.positions_to_request) {
    auto& requested_at = mismatches_[domain].requested_at;
    if (requested_at.has_value() &&
        now - *requested_at < settings_.positions_interval) {
      continue;
    }
    requested_at = now;
    message.position_requests.push_back(domain);
  }
  peer.positions_to_request.clear();
  for (auto it = peer.records_to_request.begin();
       it != peer.records_to_request.end();) {
    holder_state* holder = FindHolder(*it);
    if (holder == nullptr || holder->applied >= holder->announced) {
      it = peer.records_to_request.erase(it);
      continue;
    }
    if (message.record_requests.size() >= kMaxRecordRequests) return;
    // Another peer may be about to respond to the same request.
    if (holder->requested_at.has_value() &&
        now - *holder->requested_at < settings_.retry_interval) {
      ++it;
      continue;
    }
    holder->requested_at = now;
    message.record_requests.push_back({*it, holder->applied});
    it = peer.records_to_request.erase(it);
  }
}

}  // namespace marjoramsill
