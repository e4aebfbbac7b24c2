#include "shared_link.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marjoramsill {
namespace {

/// A smaller remainder is a rounding error.
constexpr double kSentBytes = 1e-3;

}  // namespace

void shared_link::Send(time_us now, std::size_t bytes, time_us deadline,
                       double bytes_per_second, deliver_hook deliver) {
  bytes_per_us_ = bytes_per_second / 1e6;
  updated_at_ = std::max(updated_at_, now);
  transfers_.push_back(
      {static_cast<double>(bytes), deadline, std::move(deliver)});
}

shared_link::time_us shared_link::NextEvent() const {
  time_us next = kNever;
  for (const transfer& each : transfers_) {
    const double share = bytes_per_us_ / static_cast<double>(transfers_.size());
    const double left = std::max(0.0, each.remaining_bytes - kSentBytes);
    const auto wait = static_cast<time_us>(std::ceil(left / share));
    next = std::min({next, updated_at_ + wait, each.deadline});
  }
  return next;
}

std::vector<shared_link::deliver_hook> shared_link::Advance(time_us now) {
  std::vector<deliver_hook> arrived;
  while (!transfers_.empty() && updated_at_ <= now) {
    const time_us until = std::min(now, NextEvent());
    Progress(until - updated_at_);
    updated_at_ = std::max(updated_at_, until);
    const std::size_t before = transfers_.size();
    std::erase_if(transfers_, [&](transfer& each) {
      const bool sent = each.remaining_bytes <= kSentBytes;
      if (sent) arrived.push_back(std::move(each.deliver));
      return sent || each.deadline <= updated_at_;
    });
    if (transfers_.size() == before) break;
  }
  updated_at_ = std::max(updated_at_, now);
  return arrived;
}

void shared_link::Progress(time_us duration) {
  if (duration <= 0 || transfers_.empty()) return;
  const double sent = static_cast<double>(duration) * bytes_per_us_ /
                      static_cast<double>(transfers_.size());
  for (transfer& each : transfers_) each.remaining_bytes -= sent;
}

}  // namespace marjoramsill
