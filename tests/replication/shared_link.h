#ifndef MARJORAMSILL_TESTS_REPLICATION_SHARED_LINK_H_
#define MARJORAMSILL_TESTS_REPLICATION_SHARED_LINK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <vector>

namespace marjoramsill {

/// The outgoing link of a VM in virtual time. All messages under way get an
/// equal share of its rate, as the streams of an HTTP/2 connection do.
class shared_link {
 public:
  using time_us = std::int64_t;
  using deliver_hook = std::function<void()>;

  static constexpr time_us kNever = std::numeric_limits<time_us>::max();

  /// Starts to send a message, which is given up at `deadline`.
  void Send(time_us now, std::size_t bytes, time_us deadline,
            double bytes_per_second, deliver_hook deliver);
  /// Continues sending until `now` and returns the hooks of the messages that
  /// have arrived.
  std::vector<deliver_hook> Advance(time_us now);
  /// When the next message arrives or is given up, else kNever.
  time_us NextEvent() const;
  /// Drops all messages under way, because the process has ended.
  void Clear() { transfers_.clear(); }

 private:
  struct transfer {
    double remaining_bytes = 0;
    time_us deadline = 0;
    deliver_hook deliver;
  };

  void Progress(time_us duration);

  std::vector<transfer> transfers_;
  double bytes_per_us_ = 0;
  time_us updated_at_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_REPLICATION_SHARED_LINK_H_
