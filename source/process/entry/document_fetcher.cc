#include "process/entry/document_fetcher.h"

#include <chrono>
#include <utility>

#include "process/controller/document_offer.h"
#include "process/entry/document_fetch_outcome.h"

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

document_fetcher::document_fetcher(vm_id self, failure_domain_id domain,
                                   hooks callbacks)
    : self_(std::move(self)),
      domain_(std::move(domain)),
      hooks_(std::move(callbacks)) {}

void document_fetcher::Start(document_version version) {
  if (version <= required_) return;
  required_ = version;
  required_since_ = hooks_.clock();
  failures_ = 0;
  if (!has_open_request_) RequestFromMember();
}

void document_fetcher::RequestFromMember() {
  const steady_time now = hooks_.clock();
  const auto holder = ChooseHolder(self_, required_, hooks_.members(now),
                                   now - required_since_, failures_);
  if (holder) RequestFrom(*holder);
}

void document_fetcher::Tick(steady_time now) {
  if (required_.value() == 0 || has_open_request_ || now < next_try_) return;
  RequestFromMember();
}

void document_fetcher::RequestFrom(const vm_id& vm) {
  has_open_request_ = true;
  hooks_.request(vm, EncodeDocumentRequest({required_, domain_}),
                 kResponseTimeout,
                 [this, vm, asked_at = hooks_.clock()](const auto& response) {
                   has_open_request_ = false;
                   OnResponse(vm, asked_at, response);
                 });
}

void document_fetcher::OnResponse(const vm_id& vm, steady_time asked_at,
                                  const std::optional<std::string>& response) {
  const auto offer = response ? DecodeDocumentOffer(*response)
                              : std::optional<document_offer>();
  if (offer && offer->document) {
    Log(vm, required_, "document", asked_at);
    hooks_.on_arrival(*offer->document);
    if (offer->document->version >= required_) {
      required_ = {};
    } else {
      RequestFromMember();
    }
    return;
  }
  if (offer && !offer->source.empty()) {
    Log(vm, required_, "source", asked_at);
    RequestFrom(offer->source);
    return;
  }
  Log(vm, required_, response ? "nothing" : "no_answer", asked_at);
  RetryLater();
}

/// A request to a member may wait for a response that a VM which is cut off
/// does not get, so this one does not wait for the end of that.
void document_fetcher::FetchFrom(const vm_id& vm, document_version version) {
  const bool is_expected =
      version <= required_ && hooks_.clock() - required_since_ < kExpectedTime;
  if (is_fetching_ || is_expected) return;
  is_fetching_ = true;
  hooks_.request(
      vm, EncodeDocumentRequest({version, domain_}), kResponseTimeout,
      [this, vm, version, asked_at = hooks_.clock()](const auto& response) {
        is_fetching_ = false;
        OnFetched(vm, version, asked_at, response);
      });
}

void document_fetcher::OnFetched(const vm_id& vm, document_version version,
                                 steady_time asked_at,
                                 const std::optional<std::string>& response) {
  const auto offer = response ? DecodeDocumentOffer(*response)
                              : std::optional<document_offer>();
  if (offer && offer->document) {
    Log(vm, version, "document", asked_at);
    hooks_.on_arrival(*offer->document);
  } else if (offer && !offer->source.empty()) {
    Log(vm, version, "source", asked_at);
    FetchFrom(offer->source, version);
  } else {
    Log(vm, version, response ? "nothing" : "no_answer", asked_at);
  }
}

void document_fetcher::RetryLater() {
  next_try_ = hooks_.clock() + kRetryDelay;
  if (++failures_ >= kMaxFailures) required_ = {};
}

void document_fetcher::Log(const vm_id& vm, document_version required,
                           const char* outcome, steady_time asked_at) const {
  const steady_time now = hooks_.clock();
  hooks_.log({vm, required, outcome, now - asked_at, now - required_since_});
}

}  // namespace marjoramsill
