#include "process/admission/workspace_limits.h"

#include <algorithm>
#include <utility>

#include "process/admission/limit_codec.h"

namespace marjoramsill {
namespace {

constexpr std::chrono::seconds kCleanupInterval(10);
// Unused byte budget accumulates for up to this time.
constexpr double kBudgetSeconds = 2;
// Maximum number of nested deliveries of messages from this VM to itself. A
// normal chain is short (share request, lease request, lease grant, share
// grant); the bound ends a chain that a defect would make endless.
constexpr int kMaxLocalMessages = 64;

}  // namespace

workspace_limits::workspace_limits(const limit_settings& settings, vm_id self,
                                   incarnation_number process_incarnation,
                                   steady_time now)
    : settings_(settings),
      self_(std::move(self)),
      incarnation_number_(process_incarnation.value()),
      settled_at_(now),
      arbiter_(settings, now),
      byte_budget_(settings.bytes_per_second * kBudgetSeconds),
      budget_updated_at_(now),
      last_cleanup_(now) {}

void workspace_limits::SetFleet(std::vector<vm_id> vms, steady_time now) {
  limit_fleet fleet(std::move(vms), self_);
  if (fleet_version_ > 0) {
    previous_fleet_ = std::move(fleet_);
    settled_at_ = now + settings_.fleet_settle_time;
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
  const auto [it, is_new] =
      holders_.try_emplace(workspace, settings_, incarnation_number_);
  if (!it->second.SetLimit(limit)) return;
  it->second.fleet_version = 0;
  Refresh(workspace, it->second, now);
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
  const auto it = holders_.find(workspace);
  return it != holders_.end() && it->second.Cancel(request);
}

void workspace_limits::Receive(const vm_id& from, const limit_message& message,
                               steady_time now, limit_actions& actions) {
  const std::size_t first = actions.send.size();
  const workspace_id& workspace = message.workspace;
  limit_holder* holder = Find(workspace, now);
  switch (message.kind) {
    case limit_message_kind::kShareRequest:
      if (!IsCandidate(workspace, self_)) return;
      Allocator(workspace).OnShareRequest(from, message, now, actions.send);
      break;
    case limit_message_kind::kLeaseRequest:
      OnLeaseRequest(from, message, now, actions.send);
      break;
    case limit_message_kind::kLeaseGrant:
      if (!IsCandidate(workspace, from)) return;
      Allocator(workspace).OnLeaseGrant(from, message, now, actions.send);
      break;
    case limit_message_kind::kShareGrant:
      if (holder == nullptr) return;
      if (message.limit.version > holder->limit().version) {
        SetLimit(workspace, message.limit, now);
      }
      holder->OnShareGrant(message, now);
      Update(workspace, *holder, now, actions);
      break;
    case limit_message_kind::kShareRecall:
      if (holder == nullptr) return;
      holder->OnRecall(now);
      Update(workspace, *holder, now, actions);
      break;
  }
  Deliver(now, first, actions);
}

void workspace_limits::OnLeaseRequest(
    const vm_id& from, const limit_message& request, steady_time now,
    std::vector<outgoing_limit_message>& send) {
  const workspace_id& workspace = request.workspace;
  if (!IsCandidate(workspace, from) || !IsCandidate(workspace, self_)) return;
  if (now < settled_at_ &&
      fleet_.Candidates(workspace) != previous_fleet_.Candidates(workspace)) {
    return;
  }
  const limit_arbiter::lease_response response =
      arbiter_.RequestLease(workspace, from, request.sequence >> 32U, now);
  if (!response.granted) return;
  limit_message grant;
  grant.kind = limit_message_kind::kLeaseGrant;
  grant.workspace = workspace;
  grant.sequence = request.sequence;
  using std::chrono::milliseconds;
  grant.duration_ms = static_cast<std::uint32_t>(
      std::chrono::ceil<milliseconds>(settings_.allocator_lease).count());
  grant.concurrent = static_cast<std::uint32_t>(
      std::chrono::ceil<milliseconds>(response.time_until_safe).count());
  send.push_back({from, std::move(grant)});
}

void workspace_limits::Tick(steady_time now, limit_actions& actions) {
  const std::size_t first = actions.send.size();
  std::erase_if(active_workspaces_, [&](const workspace_id& workspace) {
    limit_holder* holder = Find(workspace, now);
    if (holder == nullptr) return true;
    holder->Update(workspace, now, actions);
    return holder->idle(now);
  });
  for (auto& [workspace, allocator] : allocators_) {
    allocator.Tick(now, actions.send);
  }
  std::erase_if(allocators_,
                [&](const auto& item) { return item.second.idle(now); });
  if (now >= last_cleanup_ + kCleanupInterval) {
    last_cleanup_ = now;
    arbiter_.RemoveExpired(now);
  }
  Deliver(now, first, actions);
}

void workspace_limits::Update(const workspace_id& workspace,
                              limit_holder& holder, steady_time now,
                              limit_actions& actions) {
  const std::size_t first = actions.send.size();
  holder.Update(workspace, now, actions);
  if (!holder.idle(now)) active_workspaces_.insert(workspace);
  Deliver(now, first, actions);
}

void workspace_limits::Deliver(steady_time now, std::size_t first_message,
                               limit_actions& actions) {
  std::vector<limit_message> local;
  const auto begin =
      actions.send.begin() + static_cast<std::ptrdiff_t>(first_message);
  const auto first_local = std::stable_partition(
      begin, actions.send.end(), [&](const outgoing_limit_message& outgoing) {
        return outgoing.to != self_;
      });
  for (auto it = first_local; it != actions.send.end(); ++it) {
    local.push_back(std::move(it->message));
  }
  actions.send.erase(first_local, actions.send.end());
  actions.send.erase(
      std::remove_if(begin, actions.send.end(),
                     [&](const outgoing_limit_message& outgoing) {
                       return !TakeByteBudget(outgoing.message, now);
                     }),
      actions.send.end());
  for (const limit_message& message : local) {
    if (local_depth_ >= kMaxLocalMessages) return;
    ++local_depth_;
    Receive(self_, message, now, actions);
    --local_depth_;
  }
}

bool workspace_limits::TakeByteBudget(const limit_message& message,
                                      steady_time now) {
  const double elapsed =
      std::chrono::duration<double>(now - budget_updated_at_).count();
  budget_updated_at_ = now;
  byte_budget_ = std::min(byte_budget_ + elapsed * settings_.bytes_per_second,
                          settings_.bytes_per_second * kBudgetSeconds);
  const auto size = static_cast<double>(EncodeLimitMessages({message}).size());
  if (byte_budget_ < size) return false;
  byte_budget_ -= size;
  return true;
}

limit_holder* workspace_limits::Find(const workspace_id& workspace,
                                     steady_time now) {
  const auto it = holders_.find(workspace);
  if (it == holders_.end()) return nullptr;
  Refresh(workspace, it->second, now);
  return &it->second;
}

void workspace_limits::Refresh(const workspace_id& workspace,
                               limit_holder& holder, steady_time now) {
  // While a fleet change propagates, each VM uses the smaller of its old and
  // new fixed shares, so that the sum over all VMs stays within the limit.
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
  holder.SetFixedShare(tokens, concurrent, now);
  holder.SetCandidates(fleet_.Candidates(workspace));
}

limit_allocator& workspace_limits::Allocator(const workspace_id& workspace) {
  const auto [it, is_new] = allocators_.try_emplace(
      workspace, settings_, workspace, incarnation_number_);
  if (is_new) {
    it->second.SetArbiters(fleet_.Candidates(workspace));
    const auto holder = holders_.find(workspace);
    if (holder != holders_.end()) it->second.SetLimit(holder->second.limit());
  }
  return it->second;
}

bool workspace_limits::IsCandidate(const workspace_id& workspace,
                                   const vm_id& vm) const {
  const std::vector<vm_id> candidates = fleet_.Candidates(workspace);
  return std::find(candidates.begin(), candidates.end(), vm) !=
         candidates.end();
}

std::uint32_t workspace_limits::running(const workspace_id& workspace) const {
  const auto it = holders_.find(workspace);
  return it == holders_.end() ? 0 : it->second.running();
}

std::size_t workspace_limits::MemoryBytes() const {
  // A hash table node contains a pointer and the hash in addition to the item.
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
