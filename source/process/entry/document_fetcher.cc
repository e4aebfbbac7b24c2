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

/// Delay before the next request after a failed one.
constexpr milliseconds kRetryDelay{50};
/// A member holds a request until it has the document and its link is idle, for
/// a little less than this time.
constexpr milliseconds kResponseTimeout{1'500};
/// After this many failures the fetch is given up. The next response to a watch
/// request announces the version again and restarts it.
constexpr int kMaxFailures = 5;

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
  if (version <= required_) return;
  required_ = version;
  required_since_ = clock_();
  failures_ = 0;
  if (!has_open_request_) RequestFromMember();
}

void document_fetcher::RequestFromMember() {
  const steady_time now = clock_();
  const auto holder = ChooseHolder(self_, required_, members_.Reachable(now),
                                   now - required_since_, failures_);
  if (holder) RequestFrom(*holder);
}

void document_fetcher::Tick(steady_time now) {
  if (required_.value() == 0 || has_open_request_ || now < next_try_) return;
  RequestFromMember();
}

void document_fetcher::RequestFrom(const vm_id& vm) {
  has_open_request_ = true;
  members_.Request(vm, std::string(kDocumentKind),
                   EncodeDocumentRequest({required_, domain_}),
                   kResponseTimeout,
                   [this, vm](const std::optional<std::string>& response) {
                     has_open_request_ = false;
                     OnResponse(vm, response);
                   });
}

void document_fetcher::OnResponse(const vm_id& vm,
                                  const std::optional<std::string>& response) {
  const auto offer = response ? DecodeDocumentOffer(*response)
                              : std::optional<document_offer>();
  if (offer && offer->document) {
    log_(vm, required_, "document");
    on_arrival_(*offer->document);
    if (offer->document->version >= required_) {
      required_ = {};
    } else {
      RequestFromMember();
    }
    return;
  }
  if (offer && !offer->source.empty()) {
    log_(vm, required_, "source");
    RequestFrom(offer->source);
    return;
  }
  log_(vm, required_, response ? "nothing" : "no_answer");
  RetryLater();
}

void document_fetcher::RetryLater() {
  next_try_ = clock_() + kRetryDelay;
  if (++failures_ >= kMaxFailures) required_ = {};
}

}  // namespace marjoramsill
