#ifndef MARJORAMSILL_PROCESS_DIRECTORY_STREAM_ORIGIN_STORE_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_STREAM_ORIGIN_STORE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "process/directory/stream_origin.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// A stream can be taken up again for this long after its first event. Longer
/// than a caller waits for one request with its retries.
inline constexpr std::chrono::seconds kStreamOriginLifetime{30};

/// The software that began recent streams. Entry VMs keep those of their own
/// requests and send them to the control processes, which outlive an entry VM.
/// Origins are numbered, so that a sender can go on after the last one that a
/// receiver has got. Not thread-safe.
class stream_origin_store {
 public:
  /// The first origin recorded for a stream stays.
  void Record(const stream_origin& origin, steady_time now);
  std::optional<software_digest> Find(stream_digest stream) const;
  /// A bounded number of the origins after `number`, oldest first; `number`
  /// becomes that of the last one.
  std::vector<stream_origin> TakeAfter(std::uint64_t& number) const;
  void Expire(steady_time now);
  std::size_t size() const { return origins_.size(); }

 private:
  struct numbered_origin {
    std::uint64_t number = 0;
    stream_origin origin;
    steady_time recorded_at;
  };

  std::deque<numbered_origin> origins_;
  std::unordered_map<std::uint64_t, software_digest> software_by_stream_;
  std::uint64_t last_number_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_STREAM_ORIGIN_STORE_H_
