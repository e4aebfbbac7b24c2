#include "process/daemon/leader_client.h"

#include <algorithm>
#include <utility>

#include "connection/peer_transport.h"
#include "process/daemon/control_plane.h"
#include "process/daemon/settings.h"
#include "process/daemon/steady_clock.h"

namespace marjoramsill {
namespace {

constexpr std::chrono::milliseconds kMessageTimeout{1'000};
// Delay between two rounds through all candidates, for example during an
// election.
constexpr std::chrono::milliseconds kRoundDelay{100};

}  // namespace

struct leader_client::pending_command {
  std::string kind;
  leader_request request;
  steady_time deadline;
  done hook;
  /// VMs still to be tried in this round, in reverse order.
  std::vector<vm_id> candidates;
  /// A hint at the leader is followed once per round, because two VMs may name
  /// each other while there is no leader.
  bool hint_followed = false;
};

leader_client::leader_client(const settings& process_settings,
                             peer_transport& peers, control_plane* own)
    : settings_(process_settings), peers_(peers), own_(own) {}

void leader_client::Send(std::string_view kind, leader_request request,
                         std::chrono::milliseconds timeout, done hook) {
  auto current = std::make_shared<pending_command>();
  current->kind = std::string(kind);
  current->request = std::move(request);
  current->deadline = SteadyNow() + timeout;
  current->hook = std::move(hook);
  current->candidates = Candidates(current->request.group);
  Try(current);
}

std::vector<vm_id> leader_client::Candidates(std::uint32_t group) const {
  std::vector<vm_id> order;
  for (const fleet_vm& vm : settings_.fleet) {
    if (vm.control != control_role::kNone) order.push_back(vm.id);
  }
  const std::lock_guard lock(mutex_);
  const auto known = known_leaders_.find(group);
  if (known == known_leaders_.end()) return order;
  const auto place = std::find(order.begin(), order.end(), known->second);
  if (place != order.end()) std::rotate(place, place + 1, order.end());
  return order;
}

void leader_client::Try(const std::shared_ptr<pending_command>& current) {
  if (SteadyNow() >= current->deadline) {
    current->hook(std::nullopt);
    return;
  }
  if (current->candidates.empty()) {
    current->candidates = Candidates(current->request.group);
    current->hint_followed = false;
    if (current->candidates.empty()) {
      current->hook(std::nullopt);
      return;
    }
    peers_.RunAfter(kRoundDelay, [this, current] { Try(current); });
    return;
  }
  const vm_id target = current->candidates.back();
  current->candidates.pop_back();
  if (own_ != nullptr && target == settings_.vm) {
    own_->OnLeaderRequest(
        current->kind, current->request,
        [this, current, target](const leader_response& response) {
          OnResponse(current, target, response, true);
        });
    return;
  }
  const fleet_vm* vm = settings_.FindVm(target);
  if (vm == nullptr) {
    Try(current);
    return;
  }
  peers_.Send(
      vm->peers, {current->kind, EncodeLeaderRequest(current->request), {}},
      kMessageTimeout,
      [this, current, target](const result<std::string, peer_error>& response) {
        if (response) {
          OnResponse(current, target,
                     DecodeLeaderResponse(response.assume_value()), true);
          return;
        }
        const peer_error error = response.assume_error();
        const bool uncertain = error == peer_error::kTimedOut ||
                               error == peer_error::kConnectionLost;
        OnResponse(current, target, std::nullopt, uncertain);
      });
}

void leader_client::OnResponse(const std::shared_ptr<pending_command>& current,
                               const vm_id& from,
                               const std::optional<leader_response>& response,
                               bool delivered) {
  if (response && response->kind == leader_response_kind::kCompleted) {
    {
      const std::lock_guard lock(mutex_);
      known_leaders_[current->request.group] = from;
    }
    current->hook(response->body);
    return;
  }
  const bool not_leader =
      response && response->kind == leader_response_kind::kNotLeader;
  if (delivered && !not_leader) {
    const std::lock_guard lock(mutex_);
    known_leaders_.erase(current->request.group);
  }
  if (delivered && !not_leader) {
    current->hook(std::nullopt);
    return;
  }
  const bool has_hint =
      not_leader && !response->leader.empty() && response->leader != from;
  if (has_hint && !current->hint_followed) {
    current->hint_followed = true;
    std::erase(current->candidates, response->leader);
    current->candidates.push_back(response->leader);
  }
  Try(current);
}

}  // namespace marjoramsill
