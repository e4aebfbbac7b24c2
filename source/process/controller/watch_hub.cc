#include "process/controller/watch_hub.h"

#include <chrono>
#include <iterator>
#include <utility>

#include "process/directory/endpoint_directory.h"
#include "process/directory/watch_codec.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// A request without news is answered after this time, which shows both sides
/// that the connection works. Shorter than the watcher's timeout.
constexpr milliseconds kWatchHold{800};
/// A request for load reports is answered after this time: placements go by
/// reports that are about as old.
constexpr milliseconds kLoadHold{400};
/// A watcher that was not heard from for this long is down or cut off.
constexpr milliseconds kWatcherLifetime{1'600};
/// After this time it no longer counts as one of the entry VMs.
constexpr milliseconds kForgetWatcher{15'000};

}  // namespace

watch_hub::watch_hub(sources from, std::uint64_t epoch)
    : from_(std::move(from)), epoch_(epoch) {}

void watch_hub::OnWatch(const watch_request& request, reply_hook reply,
                        steady_time now) {
  watcher& known = watchers_[request.watcher];
  // The connection of an older request was given up by the watcher.
  if (known.reply) std::exchange(known.reply, nullptr)(std::string());
  known.is_entry = request.is_entry;
  known.wants_loads = request.wants_loads;
  loads_.Note(request.loads, load_board::source::kEntry, now);
  known.seen_change = request.epoch == epoch_ ? request.seen_change : 0;
  known.document = request.document;
  known.last_contact = now;
  known.held_since = now;
  known.reply = std::move(reply);
  const bool is_first = request.epoch != epoch_;
  if (is_first || HasNews(known)) Answer(known, now);
  CheckAwaited(now);
}

bool watch_hub::HasNews(const watcher& each) const {
  return each.seen_change < from_.directory->last_change() ||
         each.document < from_.document();
}

void watch_hub::Answer(watcher& each, steady_time now) {
  watch_reply news;
  news.epoch = epoch_;
  news.last_change = from_.directory->last_change();
  news.records = from_.directory->ChangesAfter(each.seen_change);
  news.document = from_.document();
  news.members = from_.members();
  news.entry_count = EntryCount(now);
  if (each.wants_loads) {
    news.loads = loads_.Collect(each.told_load, !each.is_entry, now);
  }
  std::exchange(each.reply, nullptr)(EncodeWatchReply(news));
}

void watch_hub::NoteLoads(const std::vector<shared_load>& loads,
                          steady_time now) {
  loads_.Note(loads, load_board::source::kController, now);
}

void watch_hub::Notify(steady_time now) {
  for (auto& [vm, each] : watchers_) {
    if (each.reply && HasNews(each)) Answer(each, now);
  }
}

void watch_hub::Tick(steady_time now) {
  for (auto it = watchers_.begin(); it != watchers_.end();) {
    watcher& each = it->second;
    const milliseconds hold = each.wants_loads ? kLoadHold : kWatchHold;
    if (each.reply && now - each.held_since >= hold) Answer(each, now);
    const bool is_forgotten =
        !each.reply && now - each.last_contact > kForgetWatcher;
    it = is_forgotten ? watchers_.erase(it) : std::next(it);
  }
  loads_.Expire(now);
  CheckAwaited(now);
}

bool watch_hub::IsSeenByAll(std::uint64_t change, steady_time now) const {
  for (const auto& [vm, each] : watchers_) {
    const bool is_present = now - each.last_contact <= kWatcherLifetime;
    if (is_present && each.seen_change < change) return false;
  }
  return true;
}

void watch_hub::AwaitSeen(std::uint64_t change, steady_time deadline,
                          seen_hook done, steady_time now) {
  awaited_.push_back({change, deadline, std::move(done)});
  CheckAwaited(now);
}

void watch_hub::CheckAwaited(steady_time now) {
  std::vector<awaited_change> waiting = std::exchange(awaited_, {});
  for (awaited_change& each : waiting) {
    if (IsSeenByAll(each.change, now)) {
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
    if (each.is_entry && now - each.last_contact <= kForgetWatcher) ++count;
  }
  return count;
}

}  // namespace marjoramsill
