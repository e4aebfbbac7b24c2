#include "process/membership/peer_membership.h"

#include <algorithm>
#include <utility>

#include "process/membership/holder_hash.h"
#include "process/membership/peer_ring.h"

namespace marjoramsill {
namespace {

constexpr std::size_t kMaxNews = 512;
constexpr std::chrono::milliseconds kNewsKept{10000};
constexpr std::chrono::milliseconds kArrangeInterval{1000};
constexpr std::chrono::milliseconds kAbsentInterval{5000};
/// The VM with the lower id opens an exchange; the other one waits this much
/// longer, so that the two don't open one each.
constexpr std::chrono::milliseconds kSecondOpener{100};
/// Pushes of a change that came from another VM; its holder tells all partners.
constexpr std::uint32_t kRelayedPushes = 2;
constexpr std::int64_t kLargestOverdraft = 200;
constexpr std::int64_t kSmallestMessage = 180;

}  // namespace

peer_membership::peer_membership(peer_membership_settings settings,
                                 endpoint_registry& registry)
    : settings_(std::move(settings)),
      registry_(registry),
      budget_(settings_.bytes_per_second, settings_.burst_bytes),
      news_budget_(settings_.news_bytes_per_second, settings_.news_burst_bytes),
      self_{settings_.self.id, settings_.life} {
  vms_[settings_.self.id] = settings_.self.domain;
  for (const peer_vm& vm : settings_.vms) vms_[vm.id] = vm.domain;
  std::set<failure_domain_id> domains;
  for (const auto& [id, domain] : vms_) {
    domains.insert(domain);
    if (id != self_.vm) peers_[id].vm = {id, domain};
  }
  domains_.assign(domains.begin(), domains.end());
  // Each VM begins its rounds elsewhere, so that the fleet's contacts spread.
  next_remote_ = HashPair(self_.vm.value(), 0) % (vms_.size() + 1);
  next_digest_ = next_remote_;
  holder_state own;
  own.id = self_;
  own.domain = settings_.self.domain;
  holders_[RefOf(self_)] = std::move(own);
  lives_[self_.vm] = self_.life;
}

std::uint64_t peer_membership::StampOf(steady_time now) const {
  return static_cast<std::uint64_t>(
      std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch())
          .count());
}

const peer_membership::holder_state* peer_membership::LatestLife(
    const vm_id& vm) const {
  const auto life = lives_.find(vm);
  if (life == lives_.end()) return nullptr;
  const auto found = holders_.find(RefOf({vm, life->second}));
  return found == holders_.end() ? nullptr : &found->second;
}

bool peer_membership::IsReachable(const vm_id& vm, steady_time now) const {
  const holder_state* holder = LatestLife(vm);
  return holder != nullptr &&
         (vm == self_.vm || now - holder->alive_at < settings_.cut_off_after);
}

bool peer_membership::IsCutOff(steady_time now) const {
  return !peers_.empty() &&
         std::none_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
           return IsReachable(peer.first, now);
         });
}

bool peer_membership::IsPresent(const vm_id& vm, steady_time now) const {
  if (vm == self_.vm) return true;
  // At the start every VM has the time to be heard once.
  const holder_state* holder = LatestLife(vm);
  const steady_time since = holder == nullptr
                                ? *started_at_
                                : std::max(*started_at_, holder->alive_at);
  return now - since < settings_.leave_ring_after;
}

bool peer_membership::IsKnownDomain(const failure_domain_id& domain) const {
  return std::binary_search(domains_.begin(), domains_.end(), domain);
}

void peer_membership::ArrangePartners(steady_time now) {
  if (arranged_at_.has_value() && now - *arranged_at_ < kArrangeInterval) {
    return;
  }
  arranged_at_ = now;
  partners_.clear();
  remotes_.clear();
  neighbourhood_.clear();
  std::vector<vm_id> ring;
  std::size_t own = 0;
  for (const auto& [id, domain] : vms_) {
    if (!IsDirect() && domain != settings_.self.domain) {
      remotes_.push_back(id);
    } else if (IsDirect() || IsPresent(id, now)) {
      if (id == self_.vm) own = ring.size();
      ring.push_back(id);
    }
  }
  const peer_ring shape = ArrangeRing(ring.size(), own, settings_.direct_limit);
  for (auto& [id, peer] : peers_) peer.is_far = false;
  for (std::size_t at : shape.near) {
    partners_.push_back(ring[at]);
    neighbourhood_.insert(ring[at]);
  }
  for (std::size_t at : shape.far) {
    partners_.push_back(ring[at]);
    peers_.at(ring[at]).is_far = true;
  }
}

bool peer_membership::IsDue(const peer_state& peer, steady_time now) const {
  if (peer.last_request.has_value() &&
      (!peer.last_exchange.has_value() ||
       *peer.last_exchange < *peer.last_request) &&
      now - *peer.last_request < settings_.retry_interval) {
    return false;
  }
  if (!peer.last_exchange.has_value() || urgent_.contains(peer.vm.id)) {
    return true;
  }
  auto interval =
      IsDirect() ? settings_.direct_interval : settings_.ring_interval;
  if (peer.vm.id < self_.vm) interval += kSecondOpener;
  return now - *peer.last_exchange >= interval;
}

// Failure domains in turn, and the VMs of each in turn.
std::optional<vm_id> peer_membership::RemotePartner(steady_time now) {
  if (remotes_.empty()) return std::nullopt;
  if (last_remote_.has_value() &&
      now - *last_remote_ < settings_.remote_interval) {
    return std::nullopt;
  }
  last_remote_ = now;
  std::map<failure_domain_id, std::vector<vm_id>> by_domain;
  for (const vm_id& id : remotes_) by_domain[vms_.at(id)].push_back(id);
  const std::size_t turn = next_remote_++;
  const auto domain = std::next(
      by_domain.begin(), static_cast<std::ptrdiff_t>(turn % by_domain.size()));
  const std::size_t round = turn / by_domain.size();
  return domain->second[round % domain->second.size()];
}

// A VM that has left the ring is tried now and then: when both sides of a cut
// have dropped each other, neither would otherwise find that it has ended.
std::optional<vm_id> peer_membership::AbsentPartner(steady_time now) {
  if (IsDirect()) return std::nullopt;
  if (last_absent_.has_value() && now - *last_absent_ < kAbsentInterval) {
    return std::nullopt;
  }
  last_absent_ = now;
  std::vector<vm_id> absent;
  for (const auto& [id, domain] : vms_) {
    if (domain == settings_.self.domain && !IsPresent(id, now)) {
      absent.push_back(id);
    }
  }
  if (absent.empty()) return std::nullopt;
  return absent[next_absent_++ % absent.size()];
}

std::vector<vm_id> peer_membership::DuePeers(steady_time now) {
  std::set<vm_id> candidates(partners_.begin(), partners_.end());
  candidates.insert(urgent_.begin(), urgent_.end());
  if (const auto remote = RemotePartner(now)) candidates.insert(*remote);
  if (const auto absent = AbsentPartner(now)) candidates.insert(*absent);
  std::vector<vm_id> due;
  for (const vm_id& id : candidates) {
    if (IsDue(peers_.at(id), now)) due.push_back(id);
  }
  // The longest wait first, so that a short budget starves no partner.
  std::sort(due.begin(), due.end(), [&](const vm_id& a, const vm_id& b) {
    return std::pair(peers_.at(a).last_exchange, a) <
           std::pair(peers_.at(b).last_exchange, b);
  });
  return due;
}

std::vector<peer_request> peer_membership::Tick(steady_time now) {
  if (!started_at_.has_value()) SpreadStart(now);
  ChargeProbes(now);
  FollowOwnChanges(now);
  ForgetHolders(now);
  ChaseLaggards(now);
  ArrangePartners(now);
  std::vector<peer_request> requests;
  for (const vm_id& id : DuePeers(now)) {
    if (budget_.Available(now) < kSmallestMessage) break;
    peer_state& peer = peers_.at(id);
    peer.last_request = now;
    urgent_.erase(id);
    requests.push_back({id, Build(peer, now)});
  }
  return requests;
}

// The first exchanges spread over one interval, so that a start keeps within
// the bytes of a second.
void peer_membership::SpreadStart(steady_time now) {
  started_at_ = now;
  const auto interval =
      IsDirect() ? settings_.direct_interval : settings_.ring_interval;
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

void peer_membership::FollowOwnChanges(steady_time now) {
  holder_state& own = holders_.at(RefOf(self_));
  own.alive_at = now;
  for (const lease_record& record : registry_.RecordsOf(self_, own.change)) {
    AddNews({self_, own.change, record}, own, self_.vm, now);
    own.change = record.change;
  }
  while (!news_.empty() && (news_.size() > kMaxNews ||
                            now - news_.front().learned_at > kNewsKept)) {
    news_.pop_front();
  }
}

void peer_membership::AddNews(const holder_change& change,
                              const holder_state& holder, const vm_id& from,
                              steady_time now) {
  const bool own_domain = holder.domain == settings_.self.domain;
  news_item item{next_news_++, now, from, own_domain, 0, 0, change};
  if (from == self_.vm) {
    item.pushes = static_cast<std::uint32_t>(vms_.size());
  } else if (!IsDirect()) {
    item.pushes = kRelayedPushes;
  }
  if (own_domain) item.remote_pushes = kRelayedPushes;
  news_.push_back(std::move(item));
}

void peer_membership::ForgetHolders(steady_time now) {
  for (auto it = holders_.begin(); it != holders_.end();) {
    if (it->second.id == self_ ||
        now - it->second.alive_at <= settings_.forget_holder) {
      ++it;
      continue;
    }
    registry_.DropHolder(it->second.id);
    it = holders_.erase(it);
  }
}

void peer_membership::ChaseLaggards(steady_time now) {
  for (auto& [ref, holder] : holders_) {
    if (!holder.lagging_since.has_value()) continue;
    if (now - *holder.lagging_since > settings_.longest_lag) {
      holder.change = 0;
      holder.lagging_since = now;
      holder.listed.reset();
    }
    if (holder.asked_at.has_value() &&
        now - *holder.asked_at < settings_.retry_interval) {
      continue;
    }
    peers_.at(holder.named_by).lacking.insert(ref);
    urgent_.insert(holder.named_by);
  }
}

peer_membership::holder_state* peer_membership::FindHolder(holder_ref ref) {
  const auto found = holders_.find(ref);
  return found == holders_.end() ? nullptr : &found->second;
}

// Returns null for VMs that the settings don't name.
peer_membership::holder_state* peer_membership::Meet(const holder_id& id,
                                                     steady_time alive_at) {
  const auto vm = vms_.find(id.vm);
  if (vm == vms_.end()) return nullptr;
  auto [it, added] = holders_.try_emplace(RefOf(id));
  holder_state& holder = it->second;
  // Two holders with equal references: only the first one is followed.
  if (!added && holder.id != id) return nullptr;
  if (added) {
    holder.id = id;
    holder.domain = vm->second;
    holder.alive_at = alive_at;
    incarnation& life = lives_[id.vm];
    life = std::max(life, id.life);
  }
  holder.alive_at = std::max(holder.alive_at, alive_at);
  return &holder;
}

std::uint64_t peer_membership::DigestOf(const failure_domain_id& domain) const {
  std::uint64_t sum = 0;
  for (const auto& [ref, holder] : holders_) {
    // A holder without leases has nothing to compare.
    if (holder.domain != domain || holder.change == 0) continue;
    sum ^=
        HashPair(holder.id.vm.value(),
                 holder.id.life.value() * 0x9e3779b97f4a7c15U + holder.change);
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
  if (peer.life.has_value() && from.life < *peer.life) {
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
  FollowOwnChanges(now);
  if (budget_.Available(now) < -kLargestOverdraft) {
    return failure(
        peer_decode_error{peer_decode_error::reason::kOverBudget, ""});
  }
  return Build(peer, now);
}

result<void, peer_decode_error> peer_membership::OnResponse(
    std::string_view body, steady_time now) {
  const auto message = Decode(body);
  if (!message) return failure(message.error());
  Receive(peers_.at(message.value().from.vm), message.value(), now);
  return success();
}

}  // namespace marjoramsill
