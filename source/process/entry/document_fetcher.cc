#include "process/entry/document_fetcher.h"

#include <algorithm>
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
/// A source that has not sent the document within the time to forward it, and
/// this time to put it in force, may have lost power or its links.
constexpr milliseconds kSourceApplyTime{100};
constexpr milliseconds kMinSourceTime{250};
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
  silent_sources_.clear();
  if (!has_member_request_ && source_.empty()) RequestFromMember();
}

void document_fetcher::RequestFromMember() {
  const steady_time now = hooks_.clock();
  // Another member may be less busy, or name other sources.
  const int unsuccessful = failures_ + static_cast<int>(silent_sources_.size());
  const auto holder = ChooseHolder(self_, required_, hooks_.members(now),
                                   now - required_since_, unsuccessful);
  if (!holder) return;
  has_member_request_ = true;
  Request(*holder, [this, vm = *holder, asked_at = now](const auto& response) {
    has_member_request_ = false;
    OnResponse(vm, asked_at, response);
  });
}

void document_fetcher::RequestFromSource(const vm_id& vm) {
  const steady_time now = hooks_.clock();
  source_ = vm;
  source_asked_at_ = now;
  Request(vm, [this, vm, asked_at = now](const auto& response) {
    if (source_ == vm) source_ = {};
    OnResponse(vm, asked_at, response);
  });
}

void document_fetcher::Request(const vm_id& vm, response_hook done) {
  hooks_.request(vm,
                 EncodeDocumentRequest({required_, domain_, silent_sources_}),
                 kResponseTimeout, std::move(done));
}

void document_fetcher::Tick(steady_time now) {
  if (required_.value() == 0 || has_member_request_ || now < next_try_) return;
  const bool has_source = !source_.empty();
  if (has_source && now - source_asked_at_ < SourceTime()) return;
  // The response of the late source still counts if it comes.
  if (has_source) silent_sources_.push_back(std::exchange(source_, {}));
  RequestFromMember();
}

void document_fetcher::OnResponse(const vm_id& vm, steady_time asked_at,
                                  const std::optional<std::string>& response) {
  const auto offer = response ? DecodeDocumentOffer(*response)
                              : std::optional<document_offer>();
  if (offer && offer->document) {
    Log(vm, required_, "document", asked_at);
    OnDocument(*offer->document);
    return;
  }
  if (offer && !offer->source.empty()) {
    Log(vm, required_, "source", asked_at);
    const bool is_needed = required_.value() != 0 && source_.empty();
    if (is_needed) RequestFromSource(offer->source);
    return;
  }
  Log(vm, required_, response ? "nothing" : "no_answer", asked_at);
  // Another request may be open by now.
  if (!has_member_request_ && source_.empty()) RetryLater();
}

void document_fetcher::OnDocument(const stored_document& document) {
  hooks_.on_arrival(document);
  if (document.version >= required_) {
    required_ = {};
  } else if (!has_member_request_ && source_.empty()) {
    RequestFromMember();
  }
}

/// A request to a member may wait for a response that a VM which is cut off
/// does not get, so this one does not wait for the end of that.
void document_fetcher::FetchFrom(const vm_id& vm, document_version version) {
  const steady_time now = hooks_.clock();
  const bool is_expected =
      version <= required_ && now - required_since_ < kExpectedTime;
  if (now < next_fetch_ || is_expected) return;
  next_fetch_ = now + SourceTime();
  hooks_.request(vm, EncodeDocumentRequest({version, domain_}),
                 kResponseTimeout,
                 [this, vm, version, asked_at = now](const auto& response) {
                   if (response) next_fetch_ = hooks_.clock();
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

std::chrono::microseconds document_fetcher::SourceTime() const {
  return std::max<std::chrono::microseconds>(
      kMinSourceTime, hooks_.forward_time() + kSourceApplyTime);
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
