#include "process/controller/document_relay.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace marjoramsill {
namespace {

using std::chrono::microseconds;

/// Part of the link that documents may take; the rest is for heartbeats.
constexpr double kLinkShare = 0.5;
constexpr double kBitsPerByte = 8;
/// Documents on their way at once: the transfer of one overlaps with the wait
/// for the next request.
constexpr microseconds kMaxBacklog{60'000};
/// From the end of a transfer until the receiver can pass the document on.
constexpr microseconds kApplyTime{30'000};
/// VMs that one receiver passes the document on to.
constexpr int kMostPassedOn = 3;
/// Shorter than the asker's timeout, so that it hears that its wait is over.
constexpr microseconds kMaxWait{1'200'000};

}  // namespace

document_relay::document_relay(double link_mbps) : link_mbps_(link_mbps) {}

void document_relay::Ask(const vm_id& asker, const document_request& request,
                         reply_hook reply, const stored_document& held,
                         steady_time now) {
  waiting_.push_back({asker, request, std::move(reply), now});
  Tick(held, now);
}

void document_relay::Tick(const stored_document& held, steady_time now) {
  if (held.version != version_) {
    version_ = held.version;
    receivers_.clear();
    busy_until_ = now;
  }
  std::vector<waiting_asker> left;
  for (waiting_asker& each : std::exchange(waiting_, {})) {
    if (Serve(each, held, now)) continue;
    if (now - each.since < kMaxWait) {
      left.push_back(std::move(each));
    } else {
      each.reply({});
    }
  }
  waiting_.insert(waiting_.end(), std::make_move_iterator(left.begin()),
                  std::make_move_iterator(left.end()));
}

bool document_relay::Serve(const waiting_asker& asker,
                           const stored_document& held, steady_time now) {
  if (held.version < asker.request.version || !held.packed) return false;
  document_offer offer;
  if (busy_until_ <= now + kMaxBacklog) {
    offer.document = held;
    NoteTransfer(asker, held, now);
    asker.reply(offer);
    return true;
  }
  receiver* source = FindSource(asker, now);
  if (source == nullptr) return false;
  ++source->passed_on;
  offer.source = source->vm;
  // The source sends it at once, so that this asker can pass it on as well.
  receivers_.push_back({asker.vm, asker.request.domain, now + 2 * kApplyTime});
  asker.reply(offer);
  return true;
}

void document_relay::NoteTransfer(const waiting_asker& asker,
                                  const stored_document& held,
                                  steady_time now) {
  const double bits = kBitsPerByte * static_cast<double>(held.packed->size());
  // One Mbit/s is one bit in a microsecond.
  const double speed = link_mbps_ * kLinkShare;
  const microseconds taken(speed > 0 ? static_cast<std::int64_t>(bits / speed)
                                     : 0);
  busy_until_ = std::max(busy_until_, now) + taken;
  receivers_.push_back(
      {asker.vm, asker.request.domain, busy_until_ + kApplyTime});
}

/// A receiver that has passed the document on least, in the asker's failure
/// domain if there is one.
document_relay::receiver* document_relay::FindSource(const waiting_asker& asker,
                                                     steady_time now) {
  receiver* best = nullptr;
  const auto rating = [&asker](const receiver& each) {
    const bool is_far = each.domain != asker.request.domain;
    return each.passed_on + (is_far ? kMostPassedOn : 0);
  };
  for (receiver& each : receivers_) {
    if (each.ready > now || each.passed_on >= kMostPassedOn) continue;
    if (each.vm == asker.vm) continue;
    if (best == nullptr || rating(each) < rating(*best)) best = &each;
  }
  return best;
}

}  // namespace marjoramsill
