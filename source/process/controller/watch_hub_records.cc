#include <algorithm>
#include <chrono>
#include <utility>

#include "process/controller/watch_hub.h"
#include "process/directory/directory_position.h"
#include "process/directory/endpoint_directory.h"
#include "process/directory/watch_response.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// Time between two responses with records to a watcher that lacks endpoints,
/// so that a directory that fills up is sent in few responses.
constexpr milliseconds kRecordInterval{100};

/// Leaves out fields that a watcher which knows the endpoint already has. Pool
/// and software stay: a watcher that has missed the endpoint must not take
/// another version for the only one that has served.
void ShortenEnded(std::vector<endpoint_record>& records) {
  for (endpoint_record& record : records) {
    if (record.phase != endpoint_phase::kEnded) continue;
    endpoint_record ended;
    ended.id = record.id;
    ended.pool = record.pool;
    ended.software = record.software;
    ended.incarnation = record.incarnation;
    ended.sequence = record.sequence;
    ended.phase = record.phase;
    record = std::move(ended);
  }
}

}  // namespace

bool watch_hub::IsDueForRecords(const watcher& each, steady_time now) {
  if (each.transfer == record_transfer::kNone) return false;
  const bool lacks_endpoints =
      each.transfer == record_transfer::kDifferences ||
      each.known_endpoints < from_.directory->CountPresent();
  return each.applied_change < from_.directory->last_change() &&
         lacks_endpoints && now - each.last_records >= kRecordInterval &&
         HasBulkBudget(now);
}

milliseconds watch_hub::History(steady_time now) const {
  return std::chrono::duration_cast<milliseconds>(now -
                                                  started_at_.value_or(now));
}

bool watch_hub::IsFirstTransfer(const watcher& each) {
  return each.transfer == record_transfer::kNone ||
         each.transfer == record_transfer::kPresent ||
         each.transfer == record_transfer::kDifferences;
}

bool watch_hub::KnowsNoEndpoint(const watcher& each) {
  return each.is_entry && each.known_endpoints == 0 &&
         (each.transfer == record_transfer::kNone ||
          each.transfer == record_transfer::kPresent);
}

void watch_hub::AddFirstRecords(const watcher& each, watch_response& response,
                                steady_time now) {
  const endpoint_directory& directory = *from_.directory;
  response.last_ending = each.applied_ending;
  if (each.transfer == record_transfer::kNone) return;
  const bool is_complete = HasBulkBudget(now);
  if (each.transfer == record_transfer::kDifferences) {
    response.records = directory.DifferencesFrom(each.known_digests);
    directory.AppendCold(response.records, now);
    response.last_ending = directory.last_change();
  } else if (is_complete) {
    response.records = directory.Present();
  }
  if (!is_complete) {
    budget_.CountHeldBack(link_use::kRecords);
    directory.SetRemainingCold(response.records, now);
    std::erase_if(response.records, [](const endpoint_record& record) {
      return !IsLeavingOrEnded(record.phase) && record.cold_ms == 0;
    });
    return;
  }
  response.last_change = directory.last_change();
  response.last_ending = response.last_change;
  response.history = History(now);
  // The watcher does not get all records of endpoints that have ended.
  response.former_software = directory.AllFormerSoftware(now);
}

void watch_hub::AddRecords(watcher& each, watch_response& response,
                           steady_time now) {
  FindRecords(each, response, now);
  from_.directory->SetRemainingCold(response.records, now);
  if (each.transfer != record_transfer::kAll) ShortenEnded(response.records);
}

void watch_hub::FindRecords(watcher& each, watch_response& response,
                            steady_time now) {
  if (IsFirstTransfer(each)) {
    AddFirstRecords(each, response, now);
    if (!response.records.empty()) each.last_records = now;
    return;
  }
  const std::uint64_t last_change = from_.directory->last_change();
  response.last_ending = last_change;
  if (HasBulkBudget(now) || !each.is_entry) {
    response.records = from_.directory->ChangesAfter(each.applied_change);
    response.last_change = last_change;
    response.history = History(now);
    if (!response.records.empty()) each.last_records = now;
  } else {
    if (each.applied_change < last_change) {
      budget_.CountHeldBack(link_use::kRecords);
    }
    response.records = from_.directory->UrgentAfter(each.applied_ending, now);
    response.last_change = each.applied_change;
  }
  if (!response.records.empty()) {
    response.former_software = from_.directory->former_software().All(now);
  }
}

void watch_hub::RespondWithRecords(steady_time now) {
  if (!HasBulkBudget(now)) return;
  std::vector<std::pair<const vm_id, watcher>*> due;
  for (auto& item : watchers_) {
    const watcher& each = item.second;
    if (each.respond && IsDueForRecords(each, now)) due.push_back(&item);
  }
  std::sort(due.begin(), due.end(), [](const auto* a, const auto* b) {
    return a->second.last_records < b->second.last_records;
  });
  for (auto* item : due) {
    if (!HasBulkBudget(now)) return;
    Respond(item->first, item->second, now);
  }
}

directory_position watch_hub::PositionFor(const vm_id& vm, steady_time now) {
  const directory_position position{epoch_, from_.directory->last_change()};
  const auto found = watchers_.find(vm);
  if (found == watchers_.end()) return position;
  watcher& each = found->second;
  const bool lacks_records = each.applied_change < position.change &&
                             each.transfer != record_transfer::kNone;
  if (each.respond && lacks_records && HasBulkBudget(now)) {
    Respond(vm, each, now);
  }
  return position;
}

}  // namespace marjoramsill
