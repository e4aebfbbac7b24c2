#include "process/controller/document_relay.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "process/controller/link_budget.h"

namespace marjoramsill {
namespace {

using std::chrono::microseconds;

constexpr double kBitsPerByte = 8;
/// Transfers may be queued this far ahead, so that one transfer overlaps with
/// the wait for the next request.
constexpr microseconds kMaxBacklog{60'000};
/// Time from the end of a transfer until the receiver can forward the document.
constexpr microseconds kApplyTime{30'000};
/// A VM forwards the document for this time after it has received it. A VM that
/// has restarted does not have it any more.
constexpr microseconds kReceiverLifetime{3'000'000};
/// Number of VMs to which one receiver forwards the document.
constexpr int kMaxForwards = 3;
/// A requester that has lost time with so many silent sources gets the document
/// from here only.
constexpr std::size_t kMaxSilentSources = 2;
/// Shorter than the timeout of the requester, so that an empty response reaches
/// the requester in time.
constexpr microseconds kMaxWait{1'200'000};

}  // namespace

document_relay::document_relay(double link_mbps) : link_mbps_(link_mbps) {}

void document_relay::Request(const vm_id& requester,
                             const document_request& request,
                             response_hook respond, const stored_document& held,
                             steady_time now) {
  // The requester has no document: a process that has restarted since cannot be
  // a source. Nor can one that does not answer.
  const std::vector<vm_id>& silent = request.silent_sources;
  std::erase_if(receivers_, [&requester, &silent](const receiver& each) {
    return each.vm == requester ||
           std::find(silent.begin(), silent.end(), each.vm) != silent.end();
  });
  // One that has lost time with a silent source comes before those that have
  // not.
  const auto place =
      silent.empty()
          ? waiting_.end()
          : std::find_if(waiting_.begin(), waiting_.end(),
                         [](const waiting_requester& each) {
                           return each.request.silent_sources.empty();
                         });
  waiting_.insert(place, {requester, request, std::move(respond), now});
  Tick(held, now);
}

void document_relay::Tick(const stored_document& held, steady_time now) {
  if (held.version != version_) {
    version_ = held.version;
    receivers_.clear();
    busy_until_ = now;
  }
  std::erase_if(receivers_, [now](const receiver& each) {
    return now - each.ready > kReceiverLifetime;
  });
  std::vector<waiting_requester> still_waiting;
  for (waiting_requester& each : std::exchange(waiting_, {})) {
    if (Serve(each, held, now)) continue;
    if (now - each.since < kMaxWait) {
      still_waiting.push_back(std::move(each));
    } else {
      each.respond({});
    }
  }
  waiting_.insert(waiting_.end(),
                  std::make_move_iterator(still_waiting.begin()),
                  std::make_move_iterator(still_waiting.end()));
}

bool document_relay::Serve(const waiting_requester& requester,
                           const stored_document& held, steady_time now) {
  if (held.version < requester.request.version || !held.packed) return false;
  document_offer offer;
  if (busy_until_ <= now + kMaxBacklog) {
    offer.document = held;
    RecordTransfer(requester, held, now);
    requester.respond(offer);
    return true;
  }
  if (requester.request.silent_sources.size() >= kMaxSilentSources) {
    return false;
  }
  receiver* source = FindSource(requester, now);
  if (source == nullptr) return false;
  ++source->forwards;
  offer.source = source->vm;
  // The source sends the document at once, so this requester can soon forward
  // it as well.
  receivers_.push_back(
      {requester.vm, requester.request.domain, now + 2 * kApplyTime});
  requester.respond(offer);
  return true;
}

microseconds document_relay::TransferTime(double link_mbps, std::size_t bytes) {
  const double bits = kBitsPerByte * static_cast<double>(bytes);
  // 1 Mbit/s is one bit per microsecond.
  const double speed = link_mbps * link_budget::kDocumentShare;
  return microseconds(speed > 0 ? static_cast<std::int64_t>(bits / speed) : 0);
}

microseconds document_relay::ForwardTime(double link_mbps, std::size_t bytes) {
  return kMaxForwards * TransferTime(link_mbps, bytes);
}

void document_relay::RecordTransfer(const waiting_requester& requester,
                                    const stored_document& held,
                                    steady_time now) {
  busy_until_ = std::max(busy_until_, now) +
                TransferTime(link_mbps_, held.packed->size());
  receivers_.push_back(
      {requester.vm, requester.request.domain, busy_until_ + kApplyTime});
}

/// The receiver with the fewest forwards, preferably in the failure domain of
/// the requester. Null if no receiver is available.
document_relay::receiver* document_relay::FindSource(
    const waiting_requester& requester, steady_time now) {
  receiver* best = nullptr;
  const auto cost = [&requester](const receiver& each) {
    const bool is_remote = each.domain != requester.request.domain;
    return each.forwards + (is_remote ? kMaxForwards : 0);
  };
  for (receiver& each : receivers_) {
    if (each.ready > now || each.forwards >= kMaxForwards) continue;
    if (each.vm == requester.vm) continue;
    if (best == nullptr || cost(each) < cost(*best)) best = &each;
  }
  return best;
}

}  // namespace marjoramsill
