#include "process/controller/watch_hub.h"

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
/// A request for load reports gets a response after this time. Placement
/// decisions use reports that are about this old.
constexpr milliseconds kLoadHold{400};
/// A watcher without a request for this long is down or partitioned.
constexpr milliseconds kWatcherLifetime{1'600};
/// After this time it is no longer counted as an entry VM.
constexpr milliseconds kWatcherExpiry{15'000};

}  // namespace

watch_hub::watch_hub(sources from, std::uint64_t epoch)
    : from_(std::move(from)), epoch_(epoch) {}

void watch_hub::OnWatch(const watch_request& request, response_hook respond,
                        steady_time now) {
  watcher& known = watchers_[request.watcher];
  // The watcher has abandoned the connection of an older request.
  if (known.respond) std::exchange(known.respond, nullptr)(std::string());
  known.is_entry = request.is_entry;
  known.requests_loads = request.requests_loads;
  loads_.Record(request.loads, load_report_store::source::kEntry, now);
  known.applied_change = request.epoch == epoch_ ? request.applied_change : 0;
  known.document = request.document;
  known.last_contact = now;
  known.held_since = now;
  known.respond = std::move(respond);
  const bool is_first = request.epoch != epoch_;
  if (is_first || HasUpdates(known)) Respond(known, now);
  CheckAwaited(now);
}

bool watch_hub::HasUpdates(const watcher& each) const {
  return each.applied_change < from_.directory->last_change() ||
         each.document < from_.document();
}

void watch_hub::Respond(watcher& each, steady_time now) {
  watch_response response;
  response.epoch = epoch_;
  response.last_change = from_.directory->last_change();
  response.records = from_.directory->ChangesAfter(each.applied_change);
  response.document = from_.document();
  response.members = from_.members();
  response.entry_count = EntryCount(now);
  if (each.requests_loads) {
    response.loads = loads_.Collect(each.last_sent_load, !each.is_entry, now);
  }
  std::string bytes = EncodeWatchResponse(response);
  ++sent_.responses;
  sent_.records += response.records.size();
  sent_.loads += response.loads.size();
  sent_.bytes += bytes.size();
  std::exchange(each.respond, nullptr)(std::move(bytes));
}

void watch_hub::MergeLoads(const std::vector<shared_load>& loads,
                           steady_time now) {
  loads_.Record(loads, load_report_store::source::kController, now);
}

void watch_hub::Notify(steady_time now) {
  for (auto& [vm, each] : watchers_) {
    if (each.respond && HasUpdates(each)) Respond(each, now);
  }
}

void watch_hub::Tick(steady_time now) {
  for (auto it = watchers_.begin(); it != watchers_.end();) {
    watcher& each = it->second;
    const milliseconds hold = each.requests_loads ? kLoadHold : kWatchHold;
    if (each.respond && now - each.held_since >= hold) Respond(each, now);
    const bool is_expired =
        !each.respond && now - each.last_contact > kWatcherExpiry;
    it = is_expired ? watchers_.erase(it) : std::next(it);
  }
  loads_.Expire(now);
  CheckAwaited(now);
}

bool watch_hub::IsAppliedByAll(std::uint64_t change, steady_time now) const {
  for (const auto& [vm, each] : watchers_) {
    const bool is_connected = now - each.last_contact <= kWatcherLifetime;
    if (is_connected && each.applied_change < change) return false;
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
  std::uint32_t count = 0;
  for (const auto& [vm, each] : watchers_) {
    if (each.is_entry && now - each.last_contact <= kWatcherExpiry) ++count;
  }
  return count;
}

}  // namespace marjoramsill
