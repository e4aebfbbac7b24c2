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
/// Share of the link for records and load reports. Documents take up to half of
/// it; the rest is left for the replicated group and for heartbeats.
constexpr double kBulkShare = 0.35;
constexpr double kBulkBurstSeconds = 0.25;
/// Urgent responses may delay records by this time at most. A series of ends
/// would otherwise leave entry VMs that start after it without endpoints.
constexpr double kMaxDebtSeconds = 0.25;
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

}  // namespace

watch_hub::watch_hub(sources from, std::uint64_t epoch)
    : from_(std::move(from)), epoch_(epoch) {
  if (from_.link_mbps <= 0) return;
  const double rate = kBulkShare * kBytesPerMegabit * from_.link_mbps;
  bulk_burst_ = static_cast<std::int64_t>(rate * kBulkBurstSeconds);
  max_debt_ = static_cast<std::int64_t>(rate * kMaxDebtSeconds);
  bulk_budget_.emplace(static_cast<std::int64_t>(rate), bulk_burst_);
}

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
  known.applied_fault = is_first ? 0 : request.applied_fault;
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
  if (is_first || HasUrgentUpdates(known, now) || IsDueForRecords(known, now)) {
    Respond(request.watcher, known, now);
  }
  CheckAwaited(now);
}

bool watch_hub::HasUrgentUpdates(const watcher& each, steady_time now) const {
  const bool lacks_faults = each.applied_fault < faults_.last_urgent_change() &&
                            now - each.last_faults >= kFaultInterval;
  const bool needs_endings = each.transfer != record_transfer::kNone &&
                             each.transfer != record_transfer::kPresent;
  const bool lacks_endings =
      needs_endings && each.applied_ending < from_.directory->last_urgent() &&
      now - each.last_endings >= kEndingInterval;
  const bool lacks_evacuations =
      from_.evacuations && each.applied_evacuations &&
      *each.applied_evacuations < from_.evacuations().change;
  return lacks_endings || each.document < from_.document() || lacks_faults ||
         lacks_evacuations;
}

void watch_hub::YieldLink(std::size_t bytes, steady_time now) {
  if (from_.link_mbps <= 0) return;
  const double seconds =
      static_cast<double>(bytes) / (kBytesPerMegabit * from_.link_mbps);
  const auto sending = std::chrono::duration_cast<steady_time::duration>(
      std::chrono::duration<double>(seconds));
  loads_paused_until_ = std::max(loads_paused_until_, now + sending);
}

bool watch_hub::HasBulkBudget(steady_time now) {
  return !bulk_budget_ || bulk_budget_->Available(now) > 0;
}

milliseconds watch_hub::LoadHold(steady_time now) {
  if (now < loads_paused_until_) return kWatchHold;
  const bool has_room =
      bulk_budget_ && 2 * bulk_budget_->Available(now) > bulk_burst_;
  return has_room ? kShortLoadHold : kLoadHold;
}

void watch_hub::Respond(const vm_id& vm, watcher& each, steady_time now) {
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
  response.last_fault = each.applied_fault;
  response.faults = faults_.TakeSharedAfter(response.last_fault);
  if (!response.faults.empty()) each.last_faults = now;
  const bool is_due_for_loads =
      each.requests_loads && now - each.last_loads >= LoadHold(now);
  const bool is_paused = now < loads_paused_until_;
  if (is_due_for_loads && !is_paused && HasBulkBudget(now)) {
    each.last_loads = now;
    response.loads = loads_.Collect(each.last_sent_load, !each.is_entry, now);
  }
  std::string bytes = Encode(each, response);
  ++sent_.responses;
  sent_.records += response.records.size();
  sent_.loads += response.loads.size();
  sent_.bytes += bytes.size();
  const bool is_bulk = !response.records.empty() || !response.loads.empty();
  if (bulk_budget_ && is_bulk) {
    bulk_budget_->Debit(now, static_cast<std::int64_t>(bytes.size()),
                        max_debt_);
  }
  std::exchange(each.respond, nullptr)(std::move(bytes));
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
  for (auto& [vm, each] : watchers_) {
    if (each.respond && HasUrgentUpdates(each, now)) Respond(vm, each, now);
  }
  RespondWithRecords(now);
}

void watch_hub::Tick(steady_time now) {
  const bool is_newest = from_.is_newest && from_.is_newest();
  // Processes that have just started serve nothing before this confirmation.
  const bool can_confirm = is_newest && !std::exchange(was_newest_, is_newest);
  was_newest_ = is_newest;
  for (auto it = watchers_.begin(); it != watchers_.end();) {
    watcher& each = it->second;
    milliseconds hold = each.requests_loads ? LoadHold(now) : kWatchHold;
    if (each.transfer == record_transfer::kNone) {
      hold = std::min(hold, kDeferredHold);
    }
    const bool is_due = can_confirm || now - each.held_since >= hold ||
                        HasUrgentUpdates(each, now);
    if (each.respond && is_due) {
      Respond(it->first, each, now);
    }
    const bool is_expired =
        !each.respond && now - each.last_contact > kWatcherExpiry;
    it = is_expired ? watchers_.erase(it) : std::next(it);
  }
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
