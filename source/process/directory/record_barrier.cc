#include "process/directory/record_barrier.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <iterator>
#include <utility>

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// A member answers from memory, and sends the records that are missing at the
/// same time.
constexpr milliseconds kTimeout{500};
/// Waits that begin within this time share a question.
constexpr milliseconds kAskInterval{50};

}  // namespace

record_barrier::record_barrier(std::function<void()> ask)
    : ask_(std::move(ask)) {}

record_barrier::~record_barrier() = default;

void record_barrier::SetMembers(std::vector<vm_id> members) {
  members_ = std::move(members);
  std::erase_if(states_, [this](const auto& item) {
    return std::find(members_.begin(), members_.end(), item.first) ==
           members_.end();
  });
}

void record_barrier::Advance(member_state& member, steady_time as_of) {
  member.as_of = std::max(member.as_of.value_or(as_of), as_of);
}

void record_barrier::OnRecords(const vm_id& member,
                               const directory_position& applied,
                               steady_time as_of) {
  member_state& known = states_[member];
  known.applied = applied;
  Advance(known, as_of);
  if (known.awaited && applied.Includes(*known.awaited)) {
    known.awaited.reset();
    Advance(known, known.awaited_since);
  }
  FinishCurrent();
}

void record_barrier::OnPosition(
    const vm_id& member, const std::optional<directory_position>& position,
    steady_time asked_at) {
  member_state& known = states_[member];
  if (!position || known.applied.Includes(*position)) {
    Advance(known, asked_at);
    FinishCurrent();
    return;
  }
  // The earlier of two positions is reached first, however fast the directory
  // changes.
  if (known.awaited && position->Includes(*known.awaited)) return;
  known.awaited = position;
  known.awaited_since = asked_at;
}

std::optional<steady_time> record_barrier::as_of() const {
  std::vector<steady_time> moments;
  for (const vm_id& member : members_) {
    const auto known = states_.find(member);
    if (known != states_.end() && known->second.as_of) {
      moments.push_back(*known->second.as_of);
    }
  }
  const std::size_t majority = members_.size() / 2 + 1;
  if (members_.empty() || moments.size() < majority) return std::nullopt;
  std::sort(moments.begin(), moments.end(), std::greater<>());
  return moments[majority - 1];
}

std::optional<steady_time> record_barrier::latest_as_of() const {
  std::optional<steady_time> latest;
  for (const auto& [member, known] : states_) {
    if (!known.as_of) continue;
    latest = std::max(latest.value_or(*known.as_of), *known.as_of);
  }
  return latest;
}

void record_barrier::Await(steady_time moment, done_hook done,
                           steady_time now) {
  const auto current = as_of();
  if (current && *current >= moment) {
    done(true);
    return;
  }
  waiting_.push_back({moment, now + kTimeout, std::move(done)});
  const bool is_asked = last_asked_ && *last_asked_ >= moment;
  const bool is_recent = last_asked_ && now - *last_asked_ < kAskInterval;
  if (!is_asked && !is_recent) Ask(now);
}

void record_barrier::Ask(steady_time now) {
  last_asked_ = now;
  ask_();
}

void record_barrier::Tick(steady_time now) {
  FinishLate(now);
  if (waiting_.empty()) return;
  if (!last_asked_ || now - *last_asked_ >= kAskInterval) Ask(now);
}

void record_barrier::FinishCurrent() {
  const auto current = as_of();
  if (!current) return;
  Finish([current](const waiter& each) { return each.moment <= *current; },
         true);
}

void record_barrier::FinishLate(steady_time now) {
  Finish([now](const waiter& each) { return each.deadline <= now; }, false);
}

void record_barrier::Finish(const std::function<bool(const waiter&)>& has_ended,
                            bool is_current) {
  const auto first_ended = std::stable_partition(
      waiting_.begin(), waiting_.end(),
      [&has_ended](const waiter& each) { return !has_ended(each); });
  // A hook may wait again.
  const std::vector<waiter> ended(std::make_move_iterator(first_ended),
                                  std::make_move_iterator(waiting_.end()));
  waiting_.erase(first_ended, waiting_.end());
  for (const waiter& each : ended) each.done(is_current);
}

}  // namespace marjoramsill
