#include "process/directory/control_watcher.h"

#include <xxhash.h>

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

#include "connection/peer_transport.h"
#include "connection/socket_address.h"
#include "connection/vm_message.h"
#include "process/daemon/peer_kinds.h"
#include "process/directory/document_holder.h"
#include "process/directory/watch_codec.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// Longer than a member holds a request without news, with time for one lost
/// packet to be sent again.
constexpr milliseconds kWatchTimeout{1'300};
/// Pauses before a member that did not answer is asked again.
constexpr milliseconds kFirstRetry{100};
constexpr milliseconds kLongestRetry{800};
constexpr std::uint32_t kMaxRetryDoublings = 3;
/// A member that answered within this time counts as reachable.
constexpr milliseconds kContactLifetime{1'600};
/// A VM that is neither a seed nor a member is forgotten after this time.
constexpr milliseconds kForgetMember{20'000};

std::uint64_t MemberScore(const vm_id& watcher, const vm_id& member) {
  const std::string& name = member.value();
  const std::uint64_t seed =
      XXH3_64bits(watcher.value().data(), watcher.value().size());
  return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

}  // namespace

control_watcher::control_watcher(asio::io_context& io, peer_transport& peers,
                                 vm_id self, bool is_entry, hooks with)
    : io_(io),
      peers_(peers),
      self_(std::move(self)),
      is_entry_(is_entry),
      hooks_(std::move(with)) {}

control_watcher::~control_watcher() = default;

void control_watcher::SetSeeds(std::vector<vm_id> seeds) {
  seeds_ = std::move(seeds);
  for (const vm_id& vm : seeds_) {
    if (vm != self_) states_.try_emplace(vm);
  }
}

void control_watcher::Tick(steady_time now) {
  DropStale(now);
  for (auto& [vm, member] : states_) {
    if (member.is_reachable && now - member.last_contact > kContactLifetime) {
      member.is_reachable = false;
      hooks_.on_contact(vm, false);
    }
    if (!member.is_asked && now >= member.next_try) Watch(vm, member);
  }
}

void control_watcher::DropStale(steady_time now) {
  const auto lists = [](const std::vector<vm_id>& list, const vm_id& vm) {
    return std::find(list.begin(), list.end(), vm) != list.end();
  };
  std::erase_if(states_, [&](const auto& entry) {
    const auto& [vm, member] = entry;
    return !member.is_asked && !lists(seeds_, vm) && !lists(members_, vm) &&
           now - member.last_contact > kForgetMember;
  });
}

void control_watcher::Watch(const vm_id& vm, member_state& member) {
  watch_request request;
  request.watcher = self_;
  request.is_entry = is_entry_;
  request.epoch = member.epoch;
  request.seen_change = member.seen_change;
  request.document = hooks_.document();
  request.wants_loads = ExchangesLoadsWith(vm);
  if (request.wants_loads) request.loads = hooks_.take_loads();
  member.is_asked = true;
  Ask(vm, std::string(kWatchKind), EncodeWatchRequest(request), kWatchTimeout,
      [this, vm](const std::optional<std::string>& answer) {
        const auto reply =
            answer ? DecodeWatchReply(*answer) : std::optional<watch_reply>();
        if (reply) {
          OnReply(vm, *reply);
        } else {
          OnNoReply(vm);
        }
      });
}

/// Control members exchange load reports with each other. An entry VM uses one
/// member, so that each report travels once; rendezvous hashing spreads the
/// entry VMs over the members that work.
bool control_watcher::ExchangesLoadsWith(const vm_id& vm) const {
  if (!is_entry_) return true;
  const vm_id* best = nullptr;
  std::uint64_t best_score = 0;
  for (const auto& [each, member] : states_) {
    if (!member.is_reachable) continue;
    const std::uint64_t score = MemberScore(self_, each);
    if (best == nullptr || score > best_score) {
      best = &each;
      best_score = score;
    }
  }
  return best != nullptr && *best == vm;
}

void control_watcher::Ask(
    const vm_id& member, const std::string& kind, std::string body,
    milliseconds timeout,
    std::function<void(std::optional<std::string>)> done) {
  const auto address = ParseSocketAddress(member.value());
  if (!address) {
    done(std::nullopt);
    return;
  }
  peers_.Send(*address, {kind, std::move(body), {}}, timeout,
              [this, done = std::move(done)](auto answer) {
                std::optional<std::string> text;
                if (answer) text = std::move(answer).assume_value();
                asio::post(io_, [done, text = std::move(text)] { done(text); });
              });
}

void control_watcher::OnReply(const vm_id& vm, const watch_reply& reply) {
  const steady_time now = hooks_.clock();
  const auto found = states_.find(vm);
  if (found == states_.end()) return;
  member_state& member = found->second;
  member.is_asked = false;
  member.failures = 0;
  member.next_try = now;
  member.last_contact = now;
  member.epoch = reply.epoch;
  member.seen_change = reply.last_change;
  member.document = reply.document;
  has_had_contact_ = true;
  if (!std::exchange(member.is_reachable, true)) hooks_.on_contact(vm, true);
  if (reply.entry_count > 0) entry_count_ = reply.entry_count;
  if (!reply.members.empty()) {
    members_ = reply.members;
    for (const vm_id& each : members_) {
      if (each != self_) states_.try_emplace(each);
    }
  }
  if (!reply.records.empty()) hooks_.on_records(reply.records);
  if (!reply.loads.empty()) hooks_.on_loads(reply.loads);
  if (reply.document > hooks_.document()) {
    hooks_.on_newer_document(reply.document);
  }
  // The next request tells the member at once what has been applied.
  Watch(vm, states_.find(vm)->second);
}

void control_watcher::OnNoReply(const vm_id& vm) {
  const auto found = states_.find(vm);
  if (found == states_.end()) return;
  member_state& member = found->second;
  member.is_asked = false;
  const std::uint32_t doublings =
      std::min(member.failures++, kMaxRetryDoublings);
  member.next_try =
      hooks_.clock() + std::min(kFirstRetry * (1U << doublings), kLongestRetry);
}

std::vector<reachable_member> control_watcher::Reachable(
    steady_time now) const {
  std::vector<reachable_member> found;
  for (const auto& [vm, member] : states_) {
    const bool is_recent = now - member.last_contact <= kContactLifetime;
    if (member.is_reachable && is_recent) {
      found.push_back({vm, member.document});
    }
  }
  return found;
}

}  // namespace marjoramsill
