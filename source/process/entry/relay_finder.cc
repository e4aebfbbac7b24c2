#include "process/entry/relay_finder.h"

#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "process/daemon/peer_kinds.h"
#include "process/directory/control_watcher.h"
#include "process/directory/document_holder.h"
#include "process/directory/relay_offer.h"
#include "process/entry/relay_table.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// Time between questions while other VMs are needed, and otherwise.
constexpr milliseconds kUrgentInterval{250};
constexpr milliseconds kIdleInterval{10'000};
/// Time before a question without an answer is repeated.
constexpr milliseconds kRetryInterval{1'000};
/// A member answers from memory, within a few milliseconds.
constexpr milliseconds kAskTimeout{300};

}  // namespace

relay_finder::relay_finder(control_watcher& members, relay_table& relays,
                           random_source random,
                           std::function<steady_time()> clock)
    : members_(members),
      relays_(relays),
      random_(std::move(random)),
      clock_(std::move(clock)) {}

void relay_finder::Tick(bool is_needed, steady_time now) {
  if (is_asking_) return;
  const bool is_answered = last_answer_ >= last_asked_;
  const milliseconds usual = is_answered ? kIdleInterval : kRetryInterval;
  if (now - last_asked_ < (is_needed ? kUrgentInterval : usual)) return;
  Ask(now);
}

void relay_finder::Ask(steady_time now) {
  const auto members = members_.Reachable(now);
  if (members.empty()) return;
  is_asking_ = true;
  last_asked_ = now;
  members_.Request(
      members[random_() % members.size()].vm, std::string(kRelayListKind), "",
      kAskTimeout, [this](const std::optional<std::string>& bytes) {
        is_asking_ = false;
        const auto offers = bytes ? DecodeRelayOffers(*bytes) : std::nullopt;
        if (!offers) return;
        last_answer_ = clock_();
        relays_.SetOffers(*offers);
      });
}

}  // namespace marjoramsill
