#include "process/directory/control_watcher.h"

#include <algorithm>
#include <asio/post.hpp>
#include <cstddef>
#include <string>
#include <utility>

#include "connection/peer_transport.h"
#include "connection/socket_address.h"
#include "connection/vm_message.h"
#include "process/controller/text_compression.h"
#include "process/daemon/event_log.h"
#include "process/daemon/peer_kinds.h"
#include "process/directory/directory_position.h"
#include "process/directory/document_holder.h"
#include "process/directory/watch_codec.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// Longer than a member holds a request without changes, with time for one lost
/// packet to be sent again.
constexpr milliseconds kWatchTimeout{1'300};
/// A member answers from memory.
constexpr milliseconds kPositionTimeout{500};
/// Delays before the next request to a member that did not respond.
constexpr milliseconds kMinRetryDelay{100};
constexpr milliseconds kMaxRetryDelay{800};
constexpr std::uint32_t kMaxRetryDoublings = 3;
/// A member that responded within this time counts as reachable.
constexpr milliseconds kReachableTimeout{1'600};
/// A lower number of entry VMs counts if none reported the higher one for this
/// time. A restarted member hears of all within its first two hold times.
constexpr milliseconds kPositionHold{3'000};
/// A VM that is neither a seed nor a member is removed this long after its last
/// response.
constexpr milliseconds kRemoveUnlistedAfter{20'000};

/// A member that is replaced by another one, or cannot answer, sends nothing.
void LogUnreadable(const vm_id& vm, std::size_t bytes) {
  if (bytes == 0) return;
  LogEvent(log_level::kWarning, "watch_response_unreadable",
           {{"vm", vm.value()}, {"bytes", std::to_string(bytes)}});
}

/// Limit for an unpacked response.
constexpr std::size_t kMaxResponseBytes = std::size_t{4} * 1024 * 1024;

std::optional<watch_response> ReadResponse(const std::string& bytes) {
  // An encoded response that is not packed does not begin like a packed one.
  const auto unpacked = UnpackText(bytes, kMaxResponseBytes);
  return DecodeWatchResponse(unpacked ? *unpacked : bytes);
}

}  // namespace

control_watcher::control_watcher(asio::io_context& io, peer_transport& peers,
                                 vm_id self, bool is_entry, hooks callbacks)
    : io_(io),
      peers_(peers),
      self_(std::move(self)),
      is_entry_(is_entry),
      hooks_(std::move(callbacks)),
      planner_(self_),
      records_([this] { AskPositions(); }) {}

control_watcher::~control_watcher() = default;

void control_watcher::SetSeeds(std::vector<vm_id> seeds) {
  seeds_ = std::move(seeds);
  for (const vm_id& vm : seeds_) {
    if (vm != self_) states_.try_emplace(vm);
  }
}

void control_watcher::Tick(steady_time now) {
  RemoveStale(now);
  for (auto& [vm, member] : states_) {
    if (member.is_reachable && now - member.last_contact > kReachableTimeout) {
      member.is_reachable = false;
      hooks_.on_contact(vm, false);
    }
    if (!member.has_request && now >= member.next_try) SendWatch(vm, member);
  }
  records_.Tick(now);
}

void control_watcher::RemoveStale(steady_time now) {
  const auto contains = [](const std::vector<vm_id>& list, const vm_id& vm) {
    return std::find(list.begin(), list.end(), vm) != list.end();
  };
  std::erase_if(states_, [&](const auto& entry) {
    const auto& [vm, member] = entry;
    return !member.has_request && !contains(seeds_, vm) &&
           !contains(members_, vm) &&
           now - member.last_contact > kRemoveUnlistedAfter;
  });
}

void control_watcher::SendWatch(const vm_id& vm, member_state& member) {
  watch_request request;
  request.watcher = self_;
  request.is_entry = is_entry_;
  request.epoch = member.epoch;
  request.applied_change = member.applied_change;
  request.applied_ending = member.applied_ending;
  if (hooks_.known_endpoints) SetTransfer(vm, member, request);
  request.document = hooks_.document();
  if (hooks_.applied_evacuations) {
    request.applied_evacuations = hooks_.applied_evacuations();
  }
  if (hooks_.relay) request.relay = hooks_.relay();
  request.requests_loads = ExchangesLoadsWith(vm);
  if (request.requests_loads) {
    request.loads = hooks_.take_loads();
    if (hooks_.take_progress) request.progress = hooks_.take_progress();
  }
  if (hooks_.take_origins) {
    member.sent_origin = member.confirmed_origin;
    request.origins = hooks_.take_origins(member.sent_origin);
  }
  request.applied_fault = member.applied_fault;
  member.sent_fault = member.confirmed_fault;
  request.faults = hooks_.take_faults(member.sent_fault);
  member.has_request = true;
  member.request_sent = hooks_.clock();
  Request(vm, std::string(kWatchKind), EncodeWatchRequest(request),
          kWatchTimeout, [this, vm](const std::optional<std::string>& bytes) {
            const auto response =
                bytes ? ReadResponse(*bytes) : std::optional<watch_response>();
            if (response) {
              OnResponse(vm, *response);
            } else {
              if (bytes) LogUnreadable(vm, bytes->size());
              OnFailure(vm);
            }
          });
}

void control_watcher::SetTransfer(const vm_id& vm, const member_state& member,
                                  watch_request& request) {
  const std::size_t known = hooks_.known_endpoints();
  request.known_endpoints = static_cast<std::uint32_t>(known);
  request.transfer = planner_.Next(vm, member.applied_change > 0, known,
                                   members_, hooks_.clock());
  if (request.transfer == record_transfer::kDifferences) {
    request.known_digests = hooks_.known_digests();
  }
}

/// Control members exchange load reports with all others. An entry VM exchanges
/// them with a single member, so that each report is sent only once. Rendezvous
/// hashing distributes the entry VMs over the reachable members.
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

void control_watcher::Request(
    const vm_id& vm, const std::string& kind, std::string body,
    milliseconds timeout,
    std::function<void(std::optional<std::string>)> done) {
  const auto address = ParseSocketAddress(vm.value());
  if (!address) {
    done(std::nullopt);
    return;
  }
  peers_.Send(*address, {kind, std::move(body), {}}, timeout,
              [this, done = std::move(done)](auto response) {
                std::optional<std::string> bytes;
                if (response) bytes = std::move(response).assume_value();
                asio::post(io_,
                           [done, bytes = std::move(bytes)] { done(bytes); });
              });
}

void control_watcher::OnResponse(const vm_id& vm,
                                 const watch_response& response) {
  const steady_time now = hooks_.clock();
  const auto found = states_.find(vm);
  if (found == states_.end()) return;
  member_state& member = found->second;
  member.has_request = false;
  member.failures = 0;
  member.next_try = now;
  member.last_contact = now;
  // A restarted member has lost what it confirmed before.
  const bool is_restarted = member.epoch != response.epoch && member.epoch != 0;
  member.confirmed_origin = is_restarted ? 0 : member.sent_origin;
  member.confirmed_fault = is_restarted ? 0 : member.sent_fault;
  member.applied_fault = response.last_fault;
  member.epoch = response.epoch;
  member.applied_change = response.last_change;
  member.applied_ending = std::max(response.last_change, response.last_ending);
  member.document = response.document;
  has_had_contact_ = true;
  if (!std::exchange(member.is_reachable, true)) hooks_.on_contact(vm, true);
  UpdatePosition(response.position, now);
  if (!response.members.empty()) {
    members_ = response.members;
    records_.SetMembers(members_);
    for (const vm_id& each : members_) {
      if (each != self_) states_.try_emplace(each);
    }
  }
  if (!response.former_software.empty()) {
    hooks_.on_former_software(response.former_software);
  }
  if (!response.records.empty()) hooks_.on_records(response.records);
  // Only a response with all records up to its last change names a history.
  if (response.history.count() > 0) {
    // The response left the member after the request was sent.
    if (hooks_.on_history) {
      hooks_.on_history(now - response.history, member.request_sent);
    }
    records_.OnRecords(vm, {response.epoch, response.last_change},
                       member.request_sent);
  }
  if (!response.faults.empty()) hooks_.on_faults(response.faults);
  if (!response.loads.empty()) hooks_.on_loads(response.loads);
  hooks_.on_progress(vm, response.progress);
  std::optional<steady_time> as_of;
  if (response.confirmed_after) {
    as_of = member.request_sent + *response.confirmed_after;
  }
  if (response.evacuations && hooks_.on_evacuations) {
    hooks_.on_evacuations(*response.evacuations, as_of);
  }
  if (as_of && hooks_.on_confirmed) {
    hooks_.on_confirmed(response.document, *as_of);
  }
  if (response.document > hooks_.document()) {
    hooks_.on_newer_document(response.document);
  }
  // The next request confirms the applied changes to the member immediately.
  SendWatch(vm, states_.find(vm)->second);
}

void control_watcher::AskPositions() {
  const steady_time asked_at = hooks_.clock();
  for (const reachable_member& member : Reachable(asked_at)) {
    Request(member.vm, std::string(kDirectoryPositionKind), "",
            kPositionTimeout,
            [this, vm = member.vm,
             asked_at](const std::optional<std::string>& answer) {
              if (!answer) return;
              // Members of earlier builds do not know the kind.
              const auto position = DecodeDirectoryPosition(*answer);
              if (position || answer->empty()) {
                records_.OnPosition(vm, position, asked_at);
              }
            });
  }
}

void control_watcher::UpdatePosition(const fleet_position& reported,
                                     steady_time now) {
  const bool is_lower = reported.entry_count < position_.entry_count;
  if (reported.entry_count == 0) return;
  if (is_lower && now - position_confirmed_ < kPositionHold) return;
  position_ = reported;
  position_confirmed_ = now;
}

void control_watcher::OnFailure(const vm_id& vm) {
  const auto found = states_.find(vm);
  if (found == states_.end()) return;
  member_state& member = found->second;
  member.has_request = false;
  const std::uint32_t doublings =
      std::min(member.failures++, kMaxRetryDoublings);
  member.next_try =
      hooks_.clock() +
      std::min(kMinRetryDelay * (1U << doublings), kMaxRetryDelay);
}

std::vector<reachable_member> control_watcher::Reachable(
    steady_time now) const {
  std::vector<reachable_member> found;
  for (const auto& [vm, member] : states_) {
    const bool is_recent = now - member.last_contact <= kReachableTimeout;
    if (member.is_reachable && is_recent) {
      found.push_back({vm, member.document});
    }
  }
  return found;
}

}  // namespace marjoramsill
