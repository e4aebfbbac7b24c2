#include "process/controller/watch_hub.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "process/directory/endpoint_directory.h"
#include "process/directory/watch_codec.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// A request without updates gets a response after this time, which shows both
/// sides that the connection works. Shorter than the timeout of the watcher.
constexpr milliseconds kWatchHold{800};
/// A request for load reports gets a response after the shorter time while the
/// link has room, otherwise after the longer one. Placement decisions use
/// reports that are about this old; with older ones, entry VMs that cannot see
/// each other's requests send too many to one endpoint.
constexpr milliseconds kShortLoadHold{100};
constexpr milliseconds kLoadHold{400};
/// A watcher that gets its records from another member is answered sooner, so
/// that it can compare them with those of this member soon after.
constexpr milliseconds kDeferredHold{300};
/// A watcher without a request for this long is down or partitioned.
constexpr milliseconds kWatcherLifetime{1'600};
constexpr double kBytesPerMegabit = 1e6 / 8;
/// Time between two early responses with ends or cold starts of endpoints to a
/// watcher, so that those of a release are sent in few responses.
constexpr milliseconds kEndingInterval{100};
/// Time between two early responses with part faults to a watcher. They change
/// with each end of an endpoint, and must not use up the link.
constexpr milliseconds kFaultInterval{100};
/// Entry VMs that are named to one without links to endpoints, up to half of
/// them of its failure domain.
constexpr std::size_t kRelayOffers = 8;
/// After this time it is no longer counted as an entry VM.
constexpr milliseconds kWatcherExpiry{15'000};
/// Shorter responses gain nothing by compression.
constexpr std::size_t kMinPackedBytes = 512;

/// Whether there are records other than those that are sent at once. The change
/// numbers do not show it: they also advance with ends while the budget allows
/// records.
bool HasBulkRecords(const watch_response& response) {
  return std::any_of(response.records.begin(), response.records.end(),
                     [](const endpoint_record& record) {
                       return !IsLeavingOrEnded(record.phase) &&
                              record.cold_ms == 0;
                     });
}

}  // namespace

watch_hub::watch_hub(sources from, std::uint64_t epoch)
    : from_(std::move(from)), epoch_(epoch), budget_(from_.link_mbps) {}

void watch_hub::OnWatch(const watch_request& request, response_hook respond,
                        steady_time now) {
  watcher& known = watchers_[request.watcher];
  // The watcher has abandoned the connection of an older request.
  if (known.respond) std::exchange(known.respond, nullptr)(std::string());
  const bool is_first = request.epoch != epoch_;
  if (!started_at_) started_at_ = now;
  known.is_entry = request.is_entry;
  known.requests_loads = request.requests_loads;
  loads_.Record(request.loads, load_report_store::source::kEntry, now);
  if (request.progress) {
    progress_.RecordEntry(request.watcher, *request.progress, now);
  } else {
    progress_.RemoveEntry(request.watcher);
  }
  RecordOrigins(request.origins, now);
  RecordFaults(request.faults, now);
  if (is_first) known.receipts = content_fault_receipts();
  known.receipts.OnApplied(request.applied_fault, now);
  known.receipts.OnReported(request.faults, now);
  known.applied_fault = is_first ? 0 : request.applied_fault;
  known.checked_fault = 0;
  known.applied_change = is_first ? 0 : request.applied_change;
  known.applied_ending =
      is_first ? 0 : std::max(request.applied_change, request.applied_ending);
  known.known_endpoints = request.known_endpoints;
  known.document = request.document;
  known.applied_evacuations = request.applied_evacuations;
  const bool has_restarted =
      is_first && request.transfer == record_transfer::kChanges;
  known.transfer = has_restarted ? record_transfer::kNone : request.transfer;
  known.known_digests = request.known_digests;
  known.relay = request.relay;
  known.last_contact = now;
  known.held_since = now;
  known.respond = std::move(respond);
  known.is_response_pending = is_first;
  if (IsUrgent(known, now) || IsDueForRecords(known, now)) {
    Respond(request.watcher, known, now);
  }
  CheckAwaited(now);
}

bool watch_hub::HasUrgentUpdates(const watcher& each, steady_time now) const {
  const bool needs_endings = each.transfer != record_transfer::kNone &&
                             each.transfer != record_transfer::kPresent;
  const bool lacks_endings =
      needs_endings && each.applied_ending < from_.directory->last_urgent() &&
      now - each.last_endings >= kEndingInterval;
  const bool lacks_evacuations =
      from_.evacuations && each.applied_evacuations &&
      *each.applied_evacuations < from_.evacuations().change;
  return lacks_endings || lacks_evacuations || each.document < from_.document();
}

std::vector<content_fault> watch_hub::LackingFaults(watcher& each,
                                                    std::uint64_t& number,
                                                    steady_time now) const {
  number = std::max(each.applied_fault, each.checked_fault);
  while (true) {
    const std::uint64_t before = number;
    std::vector<content_fault> lacking = faults_.TakeSharedAfter(number);
    each.receipts.RemoveKnown(lacking, now);
    if (!lacking.empty() || number == before) return lacking;
    each.checked_fault = number;
  }
}

bool watch_hub::IsDueForFaults(watcher& each, steady_time now) {
  const std::uint64_t last = faults_.last_urgent_change();
  const std::uint64_t done = std::max(each.applied_fault, each.checked_fault);
  if (done >= last || now - each.last_faults < kFaultInterval) return false;
  std::uint64_t number = 0;
  if (LackingFaults(each, number, now).empty()) {
    each.checked_fault = std::max(each.checked_fault, last);
    return false;
  }
  if (budget_.Allows(link_use::kUrgentContents, now)) return true;
  budget_.CountHeldBack(link_use::kUrgentContents);
  return false;
}

void watch_hub::YieldLink(std::size_t bytes, steady_time now) {
  if (from_.link_mbps <= 0) return;
  const double seconds =
      static_cast<double>(bytes) / (kBytesPerMegabit * from_.link_mbps);
  const auto sending = std::chrono::duration_cast<steady_time::duration>(
      std::chrono::duration<double>(seconds));
  loads_paused_until_ = std::max(loads_paused_until_, now + sending);
}

milliseconds watch_hub::LoadHold(steady_time now) {
  if (now < loads_paused_until_) return kWatchHold;
  return budget_.HasRoom(now) ? kShortLoadHold : kLoadHold;
}

void watch_hub::AddFaults(watcher& each, watch_response& response,
                          steady_time now) {
  std::uint64_t last = 0;
  std::vector<content_fault> faults = LackingFaults(each, last, now);
  response.last_fault = std::max(each.applied_fault, each.checked_fault);
  const bool is_urgent = each.applied_fault < faults_.last_urgent_change();
  const link_use use =
      is_urgent ? link_use::kUrgentContents : link_use::kContents;
  if (!faults.empty() && !budget_.Allows(use, now)) {
    budget_.CountHeldBack(use);
    return;
  }
  response.last_fault = last;
  if (faults.empty()) return;
  each.last_faults = now;
  each.receipts.OnSent(last, faults);
  response.faults = std::move(faults);
}

void watch_hub::AddLoads(watcher& each, watch_response& response,
                         steady_time now) {
  const bool is_due =
      each.requests_loads && now - each.last_loads >= LoadHold(now);
  if (!is_due || now < loads_paused_until_) return;
  if (!budget_.Allows(link_use::kLoads, now)) {
    budget_.CountHeldBack(link_use::kLoads);
    return;
  }
  each.last_loads = now;
  response.loads = loads_.Collect(each.last_sent_load, !each.is_entry, now);
}

void watch_hub::Respond(const vm_id& vm, watcher& each, steady_time now) {
  // The part of the budget for records is left also while urgent responses have
  // overdrawn the rest.
  if (!budget_.Allows(link_use::kUrgent, now) && !IsDueForRecords(each, now)) {
    if (!each.is_response_pending) budget_.CountHeldBack(link_use::kUrgent);
    each.is_response_pending = true;
    return;
  }
  each.is_response_pending = false;
  watch_response response;
  response.epoch = epoch_;
  AddRecords(each, response, now);
  if (response.last_ending > each.applied_ending) each.last_endings = now;
  response.document = from_.document();
  if (from_.evacuations) response.evacuations = from_.evacuations();
  if (from_.is_newest && from_.is_newest()) {
    response.confirmed_after =
        std::chrono::duration_cast<milliseconds>(now - each.held_since);
  }
  response.members = from_.members();
  response.position = PositionOf(vm, now);
  response.progress = ProgressFor(vm, each, now);
  AddFaults(each, response, now);
  AddLoads(each, response, now);
  std::string bytes = Encode(each, response);
  ++sent_.responses;
  sent_.records += response.records.size();
  sent_.loads += response.loads.size();
  sent_.bytes += bytes.size();
  const std::size_t content_bytes =
      response.faults.empty() ? 0 : EncodeContentFaults(response.faults).size();
  budget_.Charge(bytes.size(), content_bytes, HasBulkRecords(response), now);
  std::exchange(each.respond, nullptr)(std::move(bytes));
}

void watch_hub::RespondInOrder(std::vector<std::pair<vm_id, watcher*>> due,
                               steady_time now) {
  std::sort(due.begin(), due.end(), [](const auto& a, const auto& b) {
    return a.second->held_since < b.second->held_since;
  });
  for (const auto& [vm, each] : due) Respond(vm, *each, now);
}

fleet_progress watch_hub::ProgressFor(const vm_id& vm, const watcher& each,
                                      steady_time now) const {
  if (!each.is_entry) return progress_.OwnSum();
  if (!each.requests_loads) return {};
  fleet_progress sum = progress_.SumWithout(vm);
  const auto connected = std::count_if(
      watchers_.begin(), watchers_.end(), [&vm, now](const auto& entry) {
        const auto& [other, state] = entry;
        return state.is_entry && other != vm &&
               now - state.last_contact <= kWatcherLifetime;
      });
  // A VM of an older build does not report what it has in progress.
  if (sum.entry_count < connected) return {};
  return sum;
}

std::string watch_hub::Encode(const watcher& each,
                              const watch_response& response) const {
  std::string bytes = EncodeWatchResponse(response);
  // Watchers of earlier builds request all records.
  const bool reads_packed = each.transfer != record_transfer::kAll;
  const bool is_worth_packing =
      !response.records.empty() && bytes.size() >= kMinPackedBytes;
  if (!from_.pack || !reads_packed || !is_worth_packing) return bytes;
  return from_.pack(std::move(bytes));
}

void watch_hub::MergeLoads(const std::vector<shared_load>& loads,
                           steady_time now) {
  loads_.Record(loads, load_report_store::source::kController, now);
}

void watch_hub::RecordOrigins(const std::vector<stream_origin>& origins,
                              steady_time now) {
  for (const stream_origin& each : origins) origins_.Record(each, now);
}

void watch_hub::RecordFaults(const std::vector<content_fault>& faults,
                             steady_time now) {
  const std::uint64_t before = faults_.last_urgent_change();
  for (const content_fault& each : faults) faults_.Merge(each, now);
  if (faults_.last_urgent_change() != before) Notify(now);
}

std::vector<relay_offer> watch_hub::RelaysFor(const vm_id& vm,
                                              steady_time now) {
  const auto asker = watchers_.find(vm);
  std::vector<relay_offer> near;
  std::vector<relay_offer> far;
  for (const auto& [id, each] : watchers_) {
    const bool is_connected = now - each.last_contact <= kWatcherLifetime;
    const relay_state& relay = each.relay;
    if (id == vm || !is_connected || !relay.has_links || relay.port == 0) {
      continue;
    }
    const std::string address = RelayAddress(id, relay.port);
    if (address.empty()) continue;
    const bool is_near =
        asker != watchers_.end() && asker->second.relay.domain == relay.domain;
    (is_near ? near : far).push_back({address, is_near});
  }
  const std::size_t start = next_relay_++;
  std::vector<relay_offer> offers;
  const auto take = [&](const std::vector<relay_offer>& from,
                        std::size_t most) {
    const std::size_t count = std::min(most, from.size());
    for (std::size_t i = 0; i < count; ++i) {
      offers.push_back(from[(start + i) % from.size()]);
    }
  };
  take(near, kRelayOffers / 2);
  take(far, kRelayOffers - offers.size());
  return offers;
}

void watch_hub::Notify(steady_time now) {
  std::vector<std::pair<vm_id, watcher*>> due;
  for (auto& [vm, each] : watchers_) {
    if (each.respond && IsUrgent(each, now)) due.emplace_back(vm, &each);
  }
  RespondInOrder(std::move(due), now);
  RespondWithRecords(now);
}

void watch_hub::Tick(steady_time now) {
  const bool is_newest = from_.is_newest && from_.is_newest();
  // Processes that have just started serve nothing before this confirmation.
  const bool can_confirm = is_newest && !std::exchange(was_newest_, is_newest);
  was_newest_ = is_newest;
  std::vector<std::pair<vm_id, watcher*>> urgent;
  std::vector<std::pair<vm_id, watcher*>> due;
  for (auto it = watchers_.begin(); it != watchers_.end();) {
    watcher& each = it->second;
    milliseconds hold = each.requests_loads ? LoadHold(now) : kWatchHold;
    if (each.transfer == record_transfer::kNone) {
      hold = std::min(hold, kDeferredHold);
    }
    if (each.respond && (can_confirm || IsUrgent(each, now))) {
      urgent.emplace_back(it->first, &each);
    } else if (each.respond && now - each.held_since >= hold) {
      due.emplace_back(it->first, &each);
    }
    const bool is_expired =
        !each.respond && now - each.last_contact > kWatcherExpiry;
    it = is_expired ? watchers_.erase(it) : std::next(it);
  }
  RespondInOrder(std::move(urgent), now);
  RespondInOrder(std::move(due), now);
  RespondWithRecords(now);
  loads_.Expire(now);
  progress_.Expire(now);
  origins_.Expire(now);
  faults_.Expire(now);
  CheckAwaited(now);
}

bool watch_hub::IsAppliedByAll(std::uint64_t change, steady_time now) const {
  for (const auto& [vm, each] : watchers_) {
    const bool is_connected = now - each.last_contact <= kWatcherLifetime;
    if (!is_connected || KnowsNoEndpoint(each)) continue;
    if (each.applied_ending < change) return false;
  }
  return true;
}

void watch_hub::AwaitApplied(std::uint64_t change, steady_time deadline,
                             applied_hook done, steady_time now) {
  awaited_.push_back({change, deadline, std::move(done)});
  CheckAwaited(now);
}

void watch_hub::CheckAwaited(steady_time now) {
  std::vector<awaited_change> waiting = std::exchange(awaited_, {});
  for (awaited_change& each : waiting) {
    if (IsAppliedByAll(each.change, now)) {
      each.done(true);
    } else if (now >= each.deadline) {
      each.done(false);
    } else {
      awaited_.push_back(std::move(each));
    }
  }
}

std::uint32_t watch_hub::EntryCount(steady_time now) const {
  return PositionOf(vm_id(), now).entry_count;
}

fleet_position watch_hub::PositionOf(const vm_id& vm, steady_time now) const {
  fleet_position position;
  position.entry_count = 0;
  for (const auto& [other, each] : watchers_) {
    if (!each.is_entry || now - each.last_contact > kWatcherExpiry) continue;
    if (other < vm) ++position.entry_index;
    ++position.entry_count;
  }
  return position;
}

}  // namespace marjoramsill
