#include "process/controller/document_relay.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace marjoramsill {
namespace {

using std::chrono::microseconds;

/// Part of the link that documents may take; the rest is for heartbeats.
constexpr double kLinkShare = 0.5;
constexpr double kBitsPerByte = 8;
/// Documents that are on their way at once: the transfer of one overlaps with
/// the wait for the next request.
constexpr microseconds kMaxBacklog{60'000};
/// From the end of a transfer until the receiver can pass the document on.
constexpr microseconds kApplyTime{30'000};
constexpr std::size_t kMostReceivers = 64;

}  // namespace

document_relay::document_relay(double link_mbps, random_source random)
    : link_mbps_(link_mbps), random_(std::move(random)) {}

document_offer document_relay::Offer(const stored_document& held,
                                     const vm_id& asker,
                                     const failure_domain_id& domain,
                                     steady_time now) {
  if (held.version != version_) {
    version_ = held.version;
    receivers_.clear();
    busy_until_ = now;
  }
  document_offer offer;
  if (busy_until_ > now + kMaxBacklog) {
    offer.source = FindSource(asker, domain, now);
    return offer;
  }
  offer.document = held;
  const double bits =
      kBitsPerByte * static_cast<double>(held.packed ? held.packed->size() : 0);
  const double speed = link_mbps_ * kLinkShare;  // bits per microsecond
  const microseconds taken(speed > 0 ? static_cast<std::int64_t>(bits / speed)
                                     : 0);
  busy_until_ = std::max(busy_until_, now) + taken;
  receivers_.push_back({asker, domain, busy_until_ + kApplyTime});
  if (receivers_.size() > kMostReceivers) receivers_.pop_front();
  return offer;
}

/// A receiver in the asker's failure domain, or else any.
vm_id document_relay::FindSource(const vm_id& asker,
                                 const failure_domain_id& domain,
                                 steady_time now) const {
  std::vector<const receiver*> near;
  std::vector<const receiver*> far;
  for (const receiver& each : receivers_) {
    if (each.ready > now || each.vm == asker) continue;
    (each.domain == domain ? near : far).push_back(&each);
  }
  const std::vector<const receiver*>& found = near.empty() ? far : near;
  if (found.empty()) return vm_id();
  return found[random_() % found.size()]->vm;
}

}  // namespace marjoramsill
