#include "process/replication/append_window.h"

#include <algorithm>

#include "process/replication/raft_settings.h"
#include "process/replication/slow_transfer.h"

namespace marjoramsill {
namespace {

/// Longest time without a response before a repetition, in heartbeat intervals.
/// Bytes above the limit, which follows from responses, get their own time.
constexpr int kMaxRetryIntervals = 8;
/// Part of the largest request that is sent while nothing is known of the link.
constexpr std::size_t kFirstRequestShare = 4;

}  // namespace

std::size_t append_window::Limit(const raft_settings& settings) const {
  return std::min(limit_,
                  settings.max_appends_in_flight * settings.max_append_bytes);
}

bool append_window::HasRoom(const raft_settings& settings) const {
  if (sent_.empty()) return true;
  return sent_.size() < settings.max_appends_in_flight &&
         bytes_in_flight_ < Limit(settings);
}

std::size_t append_window::NextRequestBytes(
    const raft_settings& settings) const {
  if (sent_.empty() && limit_ == 0) {
    return settings.max_append_bytes / kFirstRequestShare;
  }
  if (sent_.empty()) return settings.max_append_bytes;
  const std::size_t room =
      Limit(settings) - std::min(Limit(settings), bytes_in_flight_);
  return std::min(room, settings.max_append_bytes);
}

void append_window::RecordSent(log_index last, std::size_t bytes,
                               steady_time now) {
  if (sent_.empty()) progress_at_ = now;
  sent_.push_back({last, bytes, repeated_since_.value_or(now)});
  bytes_in_flight_ += bytes;
}

void append_window::RecordResponse(log_index match,
                                   const raft_settings& settings,
                                   steady_time now) {
  // The response to a repetition of an answered request shows nothing new.
  if (sent_.empty() || sent_.front().last > match) return;
  std::size_t acknowledged = 0;
  steady_time sent_at = now;
  while (!sent_.empty() && sent_.front().last <= match) {
    acknowledged += sent_.front().bytes;
    sent_at = sent_.front().at;
    sent_.pop_front();
  }
  bytes_in_flight_ -= acknowledged;
  progress_at_ = now;
  repeated_since_.reset();
  const std::chrono::microseconds response_time = now - sent_at;
  retry_delay_ = 2 * response_time;
  if (response_time <= settings.heartbeat_interval) {
    limit_ = std::max(limit_ + acknowledged, settings.max_append_bytes);
  } else if (response_time > 2 * settings.heartbeat_interval) {
    limit_ /= 2;
  }
  limit_ = Limit(settings);
}

std::chrono::microseconds append_window::RetryDelay(
    const raft_settings& settings) const {
  const std::chrono::microseconds shortest = settings.heartbeat_interval;
  const std::size_t excess =
      bytes_in_flight_ - std::min(bytes_in_flight_, Limit(settings));
  return std::clamp(retry_delay_, shortest, kMaxRetryIntervals * shortest) +
         SlowTransferTime(excess);
}

bool append_window::IsOverdue(const raft_settings& settings,
                              steady_time now) const {
  return !sent_.empty() && now - progress_at_ >= RetryDelay(settings);
}

void append_window::RecordLoss(const raft_settings& settings) {
  if (!sent_.empty()) repeated_since_ = sent_.front().at;
  const std::chrono::microseconds shortest = settings.heartbeat_interval;
  retry_delay_ = std::min(2 * std::max(retry_delay_, shortest),
                          kMaxRetryIntervals * shortest);
  sent_.clear();
  bytes_in_flight_ = 0;
  limit_ = 0;
}

void append_window::Clear() {
  sent_.clear();
  bytes_in_flight_ = 0;
  repeated_since_.reset();
}

}  // namespace marjoramsill
