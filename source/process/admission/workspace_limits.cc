#include "process/admission/workspace_limits.h"

#include <algorithm>
#include <utility>

#include "process/admission/limit_codec.h"

namespace marjoramsill {
namespace {

constexpr std::chrono::seconds kForgetInterval(10);
// Unused budget may be spent later, up to this time's worth.
constexpr double kBudgetSeconds = 2;
// Messages of this VM to itself form short chains (ask, licence ask, licence,
// grant); the bound ends a chain that a fault would make endless.
constexpr int kMaxLocalMessages = 64;

}  // namespace

workspace_limits::workspace_limits(const limit_settings& settings, vm_id self,
                                   incarnation life, steady_time now)
    : settings_(settings),
      self_(std::move(self)),
      life_(life.value()),
      settled_at_(now),
      arbiter_(settings, now),
      byte_credit_(settings.bytes_per_second * kBudgetSeconds),
      credited_at_(now),
      forgot_at_(now) {}

void workspace_limits::SetFleet(std::vector<vm_id> vms, steady_time now) {
  limit_fleet fleet(std::move(vms), self_);
  if (fleet_version_ > 0) {
    previous_fleet_ = std::move(fleet_);
    settled_at_ = now + settings_.fleet_settle;
  } else {
    previous_fleet_ = fleet;
  }
  fleet_ = std::move(fleet);
  ++fleet_version_;
  for (auto& [workspace, allocator] : allocators_) {
    allocator.SetArbiters(fleet_.Candidates(workspace));
  }
}

void workspace_limits::SetLimit(const workspace_id& workspace,
                                const workspace_limit& limit, steady_time now) {
  const auto [at, is_new] = holders_.try_emplace(workspace, settings_, life_);
  if (!at->second.SetLimit(limit)) return;
  at->second.fleet_version = 0;
  Refresh(workspace, at->second, now);
  const auto allocator = allocators_.find(workspace);
  if (allocator != allocators_.end()) allocator->second.SetLimit(limit);
}

limit_decision workspace_limits::Offer(const workspace_id& workspace,
                                       request_handle request, cost_units cost,
                                       steady_time now,
                                       limit_actions& actions) {
  limit_holder* holder = Find(workspace, now);
  if (holder == nullptr) return limit_decision::kAccepted;
  const limit_decision decision =
      holder->Offer(request, static_cast<double>(cost.value()), now);
  Update(workspace, *holder, now, actions);
  return decision;
}

void workspace_limits::Finish(const workspace_id& workspace, cost_units cost,
                              cost_units used, steady_time now) {
  limit_holder* holder = Find(workspace, now);
  if (holder == nullptr) return;
  holder->Finish(static_cast<double>(cost.value()),
                 static_cast<double>(used.value()), now);
}

bool workspace_limits::Cancel(const workspace_id& workspace,
                              request_handle request) {
  const auto at = holders_.find(workspace);
  return at != holders_.end() && at->second.Cancel(request);
}

void workspace_limits::Receive(const vm_id& from, const limit_message& message,
                               steady_time now, limit_actions& actions) {
  const std::size_t first = actions.send.size();
  const workspace_id& workspace = message.workspace;
  limit_holder* holder = Find(workspace, now);
  switch (message.kind) {
    case limit_message_kind::kAsk:
      if (!IsCandidate(workspace, self_)) return;
      Allocator(workspace).OnAsk(from, message, now, actions.send);
      break;
    case limit_message_kind::kLicenceAsk:
      OnLicenceAsk(from, message, now, actions.send);
      break;
    case limit_message_kind::kLicence:
      if (!IsCandidate(workspace, from)) return;
      Allocator(workspace).OnLicence(from, message, now, actions.send);
      break;
    case limit_message_kind::kGrant:
      if (holder == nullptr) return;
      if (message.limit.version > holder->limit().version) {
        SetLimit(workspace, message.limit, now);
      }
      holder->OnGrant(message, now);
      Update(workspace, *holder, now, actions);
      break;
    case limit_message_kind::kRecall:
      if (holder == nullptr) return;
      holder->OnRecall(now);
      Update(workspace, *holder, now, actions);
      break;
  }
  Deliver(now, first, actions);
}

void workspace_limits::OnLicenceAsk(const vm_id& from, const limit_message& ask,
                                    steady_time now,
                                    std::vector<limit_send>& send) {
  const workspace_id& workspace = ask.workspace;
  if (!IsCandidate(workspace, from) || !IsCandidate(workspace, self_)) return;
  if (now < settled_at_ &&
      fleet_.Candidates(workspace) != previous_fleet_.Candidates(workspace)) {
    return;
  }
  const limit_arbiter::answer answer =
      arbiter_.Ask(workspace, from, ask.sequence >> 32U, now);
  if (!answer.granted) return;
  limit_message licence;
  licence.kind = limit_message_kind::kLicence;
  licence.workspace = workspace;
  licence.sequence = ask.sequence;
  using std::chrono::milliseconds;
  licence.duration_ms = static_cast<std::uint32_t>(
      std::chrono::ceil<milliseconds>(settings_.licence).count());
  licence.concurrent = static_cast<std::uint32_t>(
      std::chrono::ceil<milliseconds>(answer.unsafe).count());
  send.push_back({from, std::move(licence)});
}

void workspace_limits::Tick(steady_time now, limit_actions& actions) {
  const std::size_t first = actions.send.size();
  std::erase_if(engaged_, [&](const workspace_id& workspace) {
    limit_holder* holder = Find(workspace, now);
    if (holder == nullptr) return true;
    holder->Update(workspace, now, actions);
    return holder->quiet(now);
  });
  for (auto& [workspace, allocator] : allocators_) {
    allocator.Tick(now, actions.send);
  }
  std::erase_if(allocators_,
                [&](const auto& item) { return item.second.idle(now); });
  if (now >= forgot_at_ + kForgetInterval) {
    forgot_at_ = now;
    arbiter_.Forget(now);
  }
  Deliver(now, first, actions);
}

void workspace_limits::Update(const workspace_id& workspace,
                              limit_holder& holder, steady_time now,
                              limit_actions& actions) {
  const std::size_t first = actions.send.size();
  holder.Update(workspace, now, actions);
  if (!holder.quiet(now)) engaged_.insert(workspace);
  Deliver(now, first, actions);
}

void workspace_limits::Deliver(steady_time now, std::size_t from,
                               limit_actions& actions) {
  std::vector<limit_message> local;
  const auto begin = actions.send.begin() + static_cast<std::ptrdiff_t>(from);
  const auto kept = std::stable_partition(
      begin, actions.send.end(),
      [&](const limit_send& of) { return of.to != self_; });
  for (auto at = kept; at != actions.send.end(); ++at) {
    local.push_back(std::move(at->message));
  }
  actions.send.erase(kept, actions.send.end());
  actions.send.erase(std::remove_if(begin, actions.send.end(),
                                    [&](const limit_send& of) {
                                      return !Spend(of.message, now);
                                    }),
                     actions.send.end());
  for (const limit_message& message : local) {
    if (local_depth_ >= kMaxLocalMessages) return;
    ++local_depth_;
    Receive(self_, message, now, actions);
    --local_depth_;
  }
}

bool workspace_limits::Spend(const limit_message& message, steady_time now) {
  const double passed =
      std::chrono::duration<double>(now - credited_at_).count();
  credited_at_ = now;
  byte_credit_ = std::min(byte_credit_ + passed * settings_.bytes_per_second,
                          settings_.bytes_per_second * kBudgetSeconds);
  const auto size = static_cast<double>(EncodeLimitMessages({message}).size());
  if (byte_credit_ < size) return false;
  byte_credit_ -= size;
  return true;
}

limit_holder* workspace_limits::Find(const workspace_id& workspace,
                                     steady_time now) {
  const auto at = holders_.find(workspace);
  if (at == holders_.end()) return nullptr;
  Refresh(workspace, at->second, now);
  return &at->second;
}

void workspace_limits::Refresh(const workspace_id& workspace,
                               limit_holder& holder, steady_time now) {
  // While a change of the fleet spreads, the smaller of both fixed shares
  // keeps the sum of those of all VMs within the limit.
  const bool settled = now >= settled_at_;
  const std::uint64_t version = 2 * fleet_version_ + (settled ? 1 : 0);
  if (holder.fleet_version == version) return;
  holder.fleet_version = version;
  const workspace_limit& limit = holder.limit();
  double tokens = fleet_.FixedTokens(limit);
  std::uint32_t concurrent = fleet_.FixedConcurrent(workspace, limit);
  if (!settled) {
    tokens = std::min(tokens, previous_fleet_.FixedTokens(limit));
    concurrent =
        std::min(concurrent, previous_fleet_.FixedConcurrent(workspace, limit));
  }
  holder.SetFixed(tokens, concurrent, now);
  holder.SetCandidates(fleet_.Candidates(workspace));
}

limit_allocator& workspace_limits::Allocator(const workspace_id& workspace) {
  const auto [at, is_new] =
      allocators_.try_emplace(workspace, settings_, workspace, life_);
  if (is_new) {
    at->second.SetArbiters(fleet_.Candidates(workspace));
    const auto holder = holders_.find(workspace);
    if (holder != holders_.end()) at->second.SetLimit(holder->second.limit());
  }
  return at->second;
}

bool workspace_limits::IsCandidate(const workspace_id& workspace,
                                   const vm_id& vm) const {
  const std::vector<vm_id> candidates = fleet_.Candidates(workspace);
  return std::find(candidates.begin(), candidates.end(), vm) !=
         candidates.end();
}

std::uint32_t workspace_limits::running(const workspace_id& workspace) const {
  const auto at = holders_.find(workspace);
  return at == holders_.end() ? 0 : at->second.running();
}

std::size_t workspace_limits::MemoryBytes() const {
  // A node of a hash table holds a pointer and the hash besides the item.
  constexpr std::size_t kNode = 2 * sizeof(void*);
  std::size_t bytes = sizeof(*this);
  bytes += holders_.size() * (sizeof(*holders_.begin()) + kNode);
  bytes += allocators_.size() * (sizeof(*allocators_.begin()) + kNode);
  bytes += holders_.bucket_count() * sizeof(void*);
  for (const auto& [workspace, holder] : holders_) {
    bytes += workspace.value().capacity() + holder.MemoryBytes();
  }
  return bytes;
}

}  // namespace marjoramsill
