#include "process/entry/document_fetcher.h"

#include <chrono>
#include <utility>

#include "process/controller/document_offer.h"
#include "process/daemon/peer_kinds.h"
#include "process/directory/control_watcher.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// Pause before a busy or failed source is asked again.
constexpr milliseconds kRetryPause{50};
/// A large document needs some hundred milliseconds on a slow link.
constexpr milliseconds kAnswerTimeout{1'500};
/// After this many failures the next reply to a watch names a member anew.
constexpr int kMostFailures = 12;

}  // namespace

document_fetcher::document_fetcher(control_watcher& members,
                                   failure_domain_id domain,
                                   arrival_hook on_arrival,
                                   std::function<steady_time()> clock)
    : members_(members),
      domain_(std::move(domain)),
      on_arrival_(std::move(on_arrival)),
      clock_(std::move(clock)) {}

void document_fetcher::Start(const vm_id& member, document_version version) {
  if (version <= wanted_) return;
  wanted_ = version;
  member_ = member;
  failures_ = 0;
  if (!is_asking_) Ask(member_);
}

void document_fetcher::Tick(steady_time now) {
  if (wanted_.value() == 0 || is_asking_ || now < next_try_) return;
  Ask(member_);
}

void document_fetcher::Ask(const vm_id& vm) {
  is_asking_ = true;
  members_.Ask(vm, std::string(kDocumentKind), domain_.value(), kAnswerTimeout,
               [this](const std::optional<std::string>& answer) {
                 is_asking_ = false;
                 OnAnswer(answer);
               });
}

void document_fetcher::OnAnswer(const std::optional<std::string>& answer) {
  const auto offer =
      answer ? DecodeDocumentOffer(*answer) : std::optional<document_offer>();
  if (offer && offer->document) {
    on_arrival_(*offer->document);
    if (offer->document->version >= wanted_) {
      wanted_ = {};
      return;
    }
  }
  if (offer && !offer->source.empty()) {
    Ask(offer->source);
    return;
  }
  RetryLater();
}

void document_fetcher::RetryLater() {
  next_try_ = clock_() + kRetryPause;
  if (++failures_ >= kMostFailures) wanted_ = {};
}

}  // namespace marjoramsill
