#ifndef MARJORAMSILL_PROCESS_BURN_SERVICE_COUNTERS_H_
#define MARJORAMSILL_PROCESS_BURN_SERVICE_COUNTERS_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "process/burn/burn_window.h"
#include "process/burn/counter_key.h"
#include "process/burn/counter_values.h"
#include "process/burn/series_point.h"
#include "process/burn/service_event.h"
#include "process/burn/size_class.h"
#include "types/ids.h"
#include "types/rank.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Adds the counts of `from` to `to`.
void AddSnapshot(const counter_snapshot& from, counter_snapshot& to);

/// Event counters of one shard. Not thread-safe: guarded by the shard's lock.
/// Snapshots of several shards can be added.
class service_counters {
 public:
  void Count(const counter_key& key, service_event event, steady_time now);
  counter_snapshot Snapshot(steady_time now) const;

 private:
  /// Ring buffer of time buckets of equal width; old buckets are overwritten.
  class bucket_ring {
   public:
    bucket_ring(std::chrono::minutes width, std::size_t buckets);
    void Count(service_event event, steady_time now);
    /// Sum over the newest `buckets` buckets, including the one that contains
    /// `now`.
    event_counts Sum(std::size_t buckets, steady_time now) const;
    /// Counts of the bucket that is `age` buckets before the one that contains
    /// `now`.
    event_counts At(std::size_t age, steady_time now) const;

   private:
    struct bucket {
      std::int64_t number = -1;
      std::array<std::uint32_t, kServiceEventCount> counts{};
    };
    std::int64_t BucketNumber(steady_time now) const;

    std::chrono::minutes width_;
    std::vector<bucket> buckets_;
  };
  struct rings {
    bucket_ring minutes{std::chrono::minutes(1), 60};
    bucket_ring five_minutes{std::chrono::minutes(5), 72};
    bucket_ring hours{std::chrono::minutes(60), 720};
  };

  std::map<counter_key, rings> rings_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_BURN_SERVICE_COUNTERS_H_
