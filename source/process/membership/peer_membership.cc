#include "process/membership/peer_membership.h"

#include <algorithm>
#include <utility>

#include "process/membership/holder_hash.h"
#include "process/membership/peer_ring.h"

namespace marjoramsill {
namespace {

constexpr std::size_t kMaxUpdates = 512;
constexpr std::chrono::milliseconds kUpdateRetention{10000};
constexpr std::chrono::milliseconds kPartnerSelectionInterval{1000};
constexpr std::chrono::milliseconds kAbsentPartnerInterval{5000};
/// The VM with the lower id initiates an exchange. The other one waits this
/// much longer, so that not both of them initiate one.
constexpr std::chrono::milliseconds kSecondInitiatorDelay{100};
/// Number of peers that a change received from another VM is sent on to. The
/// holder itself sends its changes to all partners.
constexpr std::uint32_t kRelayCount = 2;
constexpr std::int64_t kMaxOverdraftBytes = 200;
constexpr std::int64_t kMinMessageBytes = 180;

}  // namespace

peer_membership::peer_membership(peer_membership_settings settings,
                                 endpoint_registry& registry)
    : settings_(std::move(settings)),
      registry_(registry),
      budget_(settings_.bytes_per_second, settings_.burst_bytes),
      update_budget_(settings_.update_bytes_per_second,
                     settings_.update_burst_bytes),
      self_{settings_.self.id, settings_.incarnation} {
  vms_[settings_.self.id] = settings_.self.domain;
  for (const peer_vm& vm : settings_.vms) vms_[vm.id] = vm.domain;
  std::set<failure_domain_id> domains;
  for (const auto& [id, domain] : vms_) {
    domains.insert(domain);
    if (id != self_.vm) peers_[id].vm = {id, domain};
  }
  domains_.assign(domains.begin(), domains.end());
  // Each VM starts its round-robin at a different position, so that the
  // exchanges are spread over the fleet.
  next_remote_ = HashPair(self_.vm.value(), 0) % (vms_.size() + 1);
  next_digest_ = next_remote_;
  holder_state own;
  own.id = self_;
  own.domain = settings_.self.domain;
  holders_[MakeHolderRef(self_)] = std::move(own);
  incarnations_[self_.vm] = self_.incarnation;
}

std::uint64_t peer_membership::ToTimestamp(steady_time now) const {
  return static_cast<std::uint64_t>(
      std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch())
          .count());
}

const peer_membership::holder_state* peer_membership::LatestHolder(
    const vm_id& vm) const {
  const auto incarnation = incarnations_.find(vm);
  if (incarnation == incarnations_.end()) return nullptr;
  const auto found = holders_.find(MakeHolderRef({vm, incarnation->second}));
  return found == holders_.end() ? nullptr : &found->second;
}

bool peer_membership::IsReachable(const vm_id& vm, steady_time now) const {
  const holder_state* holder = LatestHolder(vm);
  return holder != nullptr &&
         (vm == self_.vm ||
          now - holder->alive_at < settings_.unreachable_after);
}

bool peer_membership::IsIsolated(steady_time now) const {
  return !peers_.empty() &&
         std::none_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
           return IsReachable(peer.first, now);
         });
}

bool peer_membership::IsInRing(const vm_id& vm, steady_time now) const {
  if (vm == self_.vm) return true;
  // After the start, every VM counts as in the ring until leave_ring_after has
  // passed, so that there is time to receive a heartbeat from it.
  const holder_state* holder = LatestHolder(vm);
  const steady_time since = holder == nullptr
                                ? *started_at_
                                : std::max(*started_at_, holder->alive_at);
  return now - since < settings_.leave_ring_after;
}

bool peer_membership::IsKnownDomain(const failure_domain_id& domain) const {
  return std::binary_search(domains_.begin(), domains_.end(), domain);
}

void peer_membership::SelectPartners(steady_time now) {
  if (partners_selected_at_.has_value() &&
      now - *partners_selected_at_ < kPartnerSelectionInterval) {
    return;
  }
  partners_selected_at_ = now;
  partners_.clear();
  remote_vms_.clear();
  neighbours_.clear();
  std::vector<vm_id> ring;
  std::size_t own = 0;
  for (const auto& [id, domain] : vms_) {
    if (!IsFullMesh() && domain != settings_.self.domain) {
      remote_vms_.push_back(id);
    } else if (IsFullMesh() || IsInRing(id, now)) {
      if (id == self_.vm) own = ring.size();
      ring.push_back(id);
    }
  }
  const peer_ring shape =
      BuildPeerRing(ring.size(), own, settings_.full_mesh_limit);
  for (auto& [id, peer] : peers_) peer.is_far_partner = false;
  for (std::size_t at : shape.near) {
    partners_.push_back(ring[at]);
    neighbours_.insert(ring[at]);
  }
  for (std::size_t at : shape.far) {
    partners_.push_back(ring[at]);
    peers_.at(ring[at]).is_far_partner = true;
  }
}

bool peer_membership::IsDue(const peer_state& peer, steady_time now) const {
  if (peer.last_request.has_value() &&
      (!peer.last_exchange.has_value() ||
       *peer.last_exchange < *peer.last_request) &&
      now - *peer.last_request < settings_.retry_interval) {
    return false;
  }
  if (!peer.last_exchange.has_value() || urgent_peers_.contains(peer.vm.id)) {
    return true;
  }
  auto interval =
      IsFullMesh() ? settings_.full_mesh_interval : settings_.ring_interval;
  if (peer.vm.id < self_.vm) interval += kSecondInitiatorDelay;
  return now - *peer.last_exchange >= interval;
}

// Round-robin over the failure domains, and over the VMs of each of them.
std::optional<vm_id> peer_membership::RemotePartner(steady_time now) {
  if (remote_vms_.empty()) return std::nullopt;
  if (last_remote_exchange_.has_value() &&
      now - *last_remote_exchange_ < settings_.remote_interval) {
    return std::nullopt;
  }
  last_remote_exchange_ = now;
  std::map<failure_domain_id, std::vector<vm_id>> by_domain;
  for (const vm_id& id : remote_vms_) by_domain[vms_.at(id)].push_back(id);
  const std::size_t turn = next_remote_++;
  const auto domain = std::next(
      by_domain.begin(), static_cast<std::ptrdiff_t>(turn % by_domain.size()));
  const std::size_t round = turn / by_domain.size();
  return domain->second[round % domain->second.size()];
}

// VMs that have left the ring are contacted periodically. Otherwise two sides
// that removed each other during a network partition would never detect its
// end.
std::optional<vm_id> peer_membership::AbsentPartner(steady_time now) {
  if (IsFullMesh()) return std::nullopt;
  if (last_absent_exchange_.has_value() &&
      now - *last_absent_exchange_ < kAbsentPartnerInterval) {
    return std::nullopt;
  }
  last_absent_exchange_ = now;
  std::vector<vm_id> absent;
  for (const auto& [id, domain] : vms_) {
    if (domain == settings_.self.domain && !IsInRing(id, now)) {
      absent.push_back(id);
    }
  }
  if (absent.empty()) return std::nullopt;
  return absent[next_absent_++ % absent.size()];
}

std::vector<vm_id> peer_membership::DuePeers(steady_time now) {
  std::set<vm_id> candidates(partners_.begin(), partners_.end());
  candidates.insert(urgent_peers_.begin(), urgent_peers_.end());
  if (const auto remote = RemotePartner(now)) candidates.insert(*remote);
  if (const auto absent = AbsentPartner(now)) candidates.insert(*absent);
  std::vector<vm_id> due;
  for (const vm_id& id : candidates) {
    if (IsDue(peers_.at(id), now)) due.push_back(id);
  }
  // Longest wait first, so that a small budget doesn't starve any partner.
  std::sort(due.begin(), due.end(), [&](const vm_id& a, const vm_id& b) {
    return std::pair(peers_.at(a).last_exchange, a) <
           std::pair(peers_.at(b).last_exchange, b);
  });
  return due;
}

std::vector<peer_request> peer_membership::Tick(steady_time now) {
  if (!started_at_.has_value()) StaggerFirstExchanges(now);
  ChargeProbes(now);
  PublishOwnChanges(now);
  RemoveSilentHolders(now);
  RequestMissingRecords(now);
  SelectPartners(now);
  std::vector<peer_request> requests;
  for (const vm_id& id : DuePeers(now)) {
    if (budget_.Available(now) < kMinMessageBytes) break;
    peer_state& peer = peers_.at(id);
    peer.last_request = now;
    urgent_peers_.erase(id);
    requests.push_back({id, BuildMessage(peer, now)});
  }
  return requests;
}

// Spreads the first exchanges over one interval, so that the start stays within
// the byte budget of one second.
void peer_membership::StaggerFirstExchanges(steady_time now) {
  started_at_ = now;
  const auto interval =
      IsFullMesh() ? settings_.full_mesh_interval : settings_.ring_interval;
  const auto count = static_cast<std::int64_t>(peers_.size());
  std::int64_t turn = 0;
  for (auto& [id, peer] : peers_) {
    peer.last_exchange = now - interval * turn++ / count;
  }
}

void peer_membership::ChargeProbes(steady_time now) {
  const std::uint64_t bytes = registry_.probe_bytes_sent();
  budget_.Charge(static_cast<std::int64_t>(bytes - charged_probe_bytes_), now);
  charged_probe_bytes_ = bytes;
}

void peer_membership::PublishOwnChanges(steady_time now) {
  holder_state& own = holders_.at(MakeHolderRef(self_));
  own.alive_at = now;
  for (const lease_record& record : registry_.RecordsOf(self_, own.applied)) {
    AddUpdate({self_, own.applied, record}, own, self_.vm, now);
    own.applied = record.sequence;
  }
  while (!updates_.empty() &&
         (updates_.size() > kMaxUpdates ||
          now - updates_.front().added_at > kUpdateRetention)) {
    updates_.pop_front();
  }
}

void peer_membership::AddUpdate(const holder_change& change,
                                const holder_state& holder, const vm_id& from,
                                steady_time now) {
  const bool is_own_domain = holder.domain == settings_.self.domain;
  pending_update item{
      next_update_number_++, now, from, is_own_domain, 0, 0, change};
  if (from == self_.vm) {
    item.sends_left = static_cast<std::uint32_t>(vms_.size());
  } else if (!IsFullMesh()) {
    item.sends_left = kRelayCount;
  }
  if (is_own_domain) item.remote_sends_left = kRelayCount;
  updates_.push_back(std::move(item));
}

void peer_membership::RemoveSilentHolders(steady_time now) {
  for (auto it = holders_.begin(); it != holders_.end();) {
    if (it->second.id == self_ ||
        now - it->second.alive_at <= settings_.remove_holder_after) {
      ++it;
      continue;
    }
    registry_.RemoveHolder(it->second.id);
    it = holders_.erase(it);
  }
}

void peer_membership::RequestMissingRecords(steady_time now) {
  for (auto& [ref, holder] : holders_) {
    if (!holder.lagging_since.has_value()) continue;
    if (now - *holder.lagging_since > settings_.resync_after_lag) {
      holder.applied = 0;
      holder.lagging_since = now;
      holder.listed_ids.reset();
    }
    if (holder.requested_at.has_value() &&
        now - *holder.requested_at < settings_.retry_interval) {
      continue;
    }
    peers_.at(holder.announced_by).records_to_request.insert(ref);
    urgent_peers_.insert(holder.announced_by);
  }
}

peer_membership::holder_state* peer_membership::FindHolder(holder_ref ref) {
  const auto found = holders_.find(ref);
  return found == holders_.end() ? nullptr : &found->second;
}

// Returns null if the VM is not in the settings.
peer_membership::holder_state* peer_membership::FindOrAddHolder(
    const holder_id& id, steady_time alive_at) {
  const auto vm = vms_.find(id.vm);
  if (vm == vms_.end()) return nullptr;
  auto [it, added] = holders_.try_emplace(MakeHolderRef(id));
  holder_state& holder = it->second;
  // Two holders with the same reference: only the first one is tracked.
  if (!added && holder.id != id) return nullptr;
  if (added) {
    holder.id = id;
    holder.domain = vm->second;
    holder.alive_at = alive_at;
    incarnation_number& incarnation = incarnations_[id.vm];
    incarnation = std::max(incarnation, id.incarnation);
  }
  holder.alive_at = std::max(holder.alive_at, alive_at);
  return &holder;
}

std::uint64_t peer_membership::DigestOf(const failure_domain_id& domain) const {
  std::uint64_t sum = 0;
  for (const auto& [ref, holder] : holders_) {
    // A holder without changes has nothing to compare.
    if (holder.domain != domain || holder.applied == 0) continue;
    sum ^= HashPair(
        holder.id.vm.value(),
        holder.id.incarnation.value() * 0x9e3779b97f4a7c15U + holder.applied);
  }
  return sum;
}

result<peer_message, peer_decode_error> peer_membership::Decode(
    std::string_view body) {
  auto decoded = DecodePeerMessage(body);
  if (!decoded) return decoded;
  const holder_id& from = decoded.value().from;
  if (!peers_.contains(from.vm)) {
    return failure(
        peer_decode_error{peer_decode_error::reason::kUnknownSender, "from"});
  }
  const peer_state& peer = peers_.at(from.vm);
  if (peer.incarnation.has_value() && from.incarnation < *peer.incarnation) {
    return failure(
        peer_decode_error{peer_decode_error::reason::kOldIncarnation, "from"});
  }
  return decoded;
}

result<std::string, peer_decode_error> peer_membership::OnRequest(
    std::string_view body, steady_time now) {
  const auto message = Decode(body);
  if (!message) return failure(message.error());
  peer_state& peer = peers_.at(message.value().from.vm);
  Receive(peer, message.value(), now);
  PublishOwnChanges(now);
  if (budget_.Available(now) < -kMaxOverdraftBytes) {
    return failure(
        peer_decode_error{peer_decode_error::reason::kOverBudget, ""});
  }
  return BuildMessage(peer, now);
}

result<void, peer_decode_error> peer_membership::OnResponse(
    std::string_view body, steady_time now) {
  const auto message = Decode(body);
  if (!message) return failure(message.error());
  Receive(peers_.at(message.value().from.vm), message.value(), now);
  return success();
}

}  // namespace marjoramsill
