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
/// A version that a member has announced usually arrives within this time. It
/// is not transferred twice until then.
constexpr milliseconds kExpectedTime{400};
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

/// A request to a member may wait for a response that a VM which is cut off
/// does not get, so this one does not wait for the end of that.
void document_fetcher::FetchFrom(const vm_id& vm, document_version version) {
  const bool is_expected =
      version <= required_ && clock_() - required_since_ < kExpectedTime;
  if (is_fetching_ || is_expected) return;
  is_fetching_ = true;
  members_.Request(vm, std::string(kDocumentKind),
                   EncodeDocumentRequest({version, domain_}), kResponseTimeout,
                   [this, vm, version](const auto& response) {
                     is_fetching_ = false;
                     OnFetched(vm, version, response);
                   });
}

void document_fetcher::OnFetched(const vm_id& vm, document_version version,
                                 const std::optional<std::string>& response) {
  const auto offer = response ? DecodeDocumentOffer(*response)
                              : std::optional<document_offer>();
  if (offer && offer->document) {
    log_(vm, version, "document");
    on_arrival_(*offer->document);
  } else if (offer && !offer->source.empty()) {
    log_(vm, version, "source");
    FetchFrom(offer->source, version);
  } else {
    log_(vm, version, response ? "nothing" : "no_answer");
  }
}

void document_fetcher::RetryLater() {
  next_try_ = clock_() + kRetryDelay;
  if (++failures_ >= kMaxFailures) required_ = {};
}

}  // namespace marjoramsill
