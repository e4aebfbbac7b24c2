#include "process/entry/document_fetcher.h"

#include <chrono>
#include <functional>
#include <utility>
#include <vector>

#include "process/controller/document_offer.h"
#include "process/controller/document_request.h"
#include "process/daemon/peer_kinds.h"
#include "process/directory/control_watcher.h"
#include "process/directory/document_holder.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// Pause before a member is asked again.
constexpr milliseconds kRetryPause{50};
/// Members hold a request until it is its turn, for a little less than this.
constexpr milliseconds kAnswerTimeout{1'500};
/// After this many failures the next reply to a watch names a member anew.
constexpr int kMostFailures = 5;

}  // namespace

document_fetcher::document_fetcher(control_watcher& members, vm_id self,
                                   failure_domain_id domain,
                                   arrival_hook on_arrival, log_hook log,
                                   std::function<steady_time()> clock)
    : members_(members),
      self_(std::move(self)),
      domain_(std::move(domain)),
      on_arrival_(std::move(on_arrival)),
      log_(std::move(log)),
      clock_(std::move(clock)) {}

void document_fetcher::Start(document_version version) {
  if (version <= wanted_) return;
  wanted_ = version;
  wanted_since_ = clock_();
  failures_ = 0;
  if (!is_asking_) AskHolder();
}

void document_fetcher::AskHolder() {
  const steady_time now = clock_();
  const auto holder = ChooseHolder(self_, wanted_, members_.Reachable(now),
                                   now - wanted_since_, failures_);
  if (holder) Ask(*holder);
}

void document_fetcher::Tick(steady_time now) {
  if (wanted_.value() == 0 || is_asking_ || now < next_try_) return;
  AskHolder();
}

void document_fetcher::Ask(const vm_id& vm) {
  is_asking_ = true;
  members_.Ask(vm, std::string(kDocumentKind),
               EncodeDocumentRequest({wanted_, domain_}), kAnswerTimeout,
               [this, vm](const std::optional<std::string>& answer) {
                 is_asking_ = false;
                 OnAnswer(vm, answer);
               });
}

void document_fetcher::OnAnswer(const vm_id& asked,
                                const std::optional<std::string>& answer) {
  const auto offer =
      answer ? DecodeDocumentOffer(*answer) : std::optional<document_offer>();
  if (offer && offer->document) {
    log_(asked, wanted_, "document");
    on_arrival_(*offer->document);
    if (offer->document->version >= wanted_) {
      wanted_ = {};
    } else {
      AskHolder();
    }
    return;
  }
  if (offer && !offer->source.empty()) {
    log_(asked, wanted_, "source");
    Ask(offer->source);
    return;
  }
  log_(asked, wanted_, answer ? "nothing" : "no_answer");
  RetryLater();
}

void document_fetcher::RetryLater() {
  next_try_ = clock_() + kRetryPause;
  if (++failures_ >= kMostFailures) wanted_ = {};
}

}  // namespace marjoramsill
