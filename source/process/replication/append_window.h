#ifndef MARJORAMSILL_PROCESS_REPLICATION_APPEND_WINDOW_H_
#define MARJORAMSILL_PROCESS_REPLICATION_APPEND_WINDOW_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>

#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

struct raft_settings;

/// Flow control of the requests that a leader sends to one member. The bytes in
/// flight are limited to what the member acknowledges within a heartbeat
/// interval, and a request is repeated only after a time that follows the
/// response times seen.
class append_window {
 public:
  /// True if the next request may be sent.
  bool HasRoom(const raft_settings& settings) const;
  /// Payload bytes that the next request may hold; at least one entry may
  /// always be sent.
  std::size_t NextRequestBytes(const raft_settings& settings) const;
  /// `last` is the last log index that the request holds.
  void RecordSent(log_index last, std::size_t bytes, steady_time now);
  /// The member holds all entries up to `match`.
  void RecordResponse(log_index match, const raft_settings& settings,
                      steady_time now);
  /// True if there was no response to the requests in flight for so long that
  /// they must be sent again.
  bool IsOverdue(const raft_settings& settings, steady_time now) const;
  /// The requests in flight are sent again, one at a time until a response.
  void RecordLoss(const raft_settings& settings);
  /// Forgets the requests in flight, whose responses do not matter any more.
  void Clear();
  bool IsIdle() const { return sent_.empty(); }

 private:
  struct sent_request {
    log_index last;
    std::size_t bytes = 0;
    /// When it was sent for the first time.
    steady_time at;
  };

  std::chrono::microseconds RetryDelay(const raft_settings& settings) const;
  std::size_t Limit(const raft_settings& settings) const;

  std::deque<sent_request> sent_;
  std::size_t bytes_in_flight_ = 0;
  /// Zero until the first response and after a loss: one request at a time.
  std::size_t limit_ = 0;
  std::chrono::microseconds retry_delay_{0};
  /// When the requests in flight were last known to make progress.
  steady_time progress_at_;
  /// When the request that is being repeated was sent for the first time.
  std::optional<steady_time> repeated_since_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_APPEND_WINDOW_H_
