#ifndef MARJORAMSILL_PROCESS_BURN_SERVICE_COUNTERS_H_
#define MARJORAMSILL_PROCESS_BURN_SERVICE_COUNTERS_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "types/ids.h"
#include "types/rank.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// How a request ended. The numeric value is an array index and part of the
/// codec: new ones go to the end.
enum class service_event {
  kGood,
  kLateFirstToken,
  kSlowBetweenTokens,
  kRefusedDeadline,
  kRefusedQueueFull,
  kRefusedNoCapacity,
  kRefusedLimit,
  kFailedEndpoint,
  kFailedTimeout,
  kFailedTruncated,
};
inline constexpr std::size_t kServiceEventCount = 10;

enum class size_class { kSmall, kLarge };

struct counter_key {
  marjoramsill::rank rank = rank::kUrgent;
  failure_domain_id failure_domain;
  size_class size = size_class::kSmall;
  friend bool operator<(const counter_key& left, const counter_key& right) {
    return std::tie(left.rank, left.failure_domain, left.size) <
           std::tie(right.rank, right.failure_domain, right.size);
  }
};

using event_counts = std::array<std::uint64_t, kServiceEventCount>;

/// Windows that burn rates and the error budget are computed over.
enum class burn_window { k5Min, k30Min, k1Hour, k6Hours, kBudget };
inline constexpr std::size_t kBurnWindowCount = 5;
inline constexpr std::array<std::chrono::minutes, kBurnWindowCount>
    kBurnWindowLength = {std::chrono::minutes(5), std::chrono::minutes(30),
                         std::chrono::minutes(60), std::chrono::minutes(360),
                         std::chrono::minutes(30 * 24 * 60)};

/// Points of the plotted series: 5 minutes each, 6 hours, newest last.
inline constexpr std::size_t kSeriesPoints = 72;
struct series_point {
  std::uint64_t good = 0;
  std::uint64_t bad = 0;
  friend bool operator==(const series_point&, const series_point&) = default;
};

struct counter_values {
  std::array<event_counts, kBurnWindowCount> windows{};
  std::array<series_point, kSeriesPoints> series{};
};

/// Sums by window. Ages instead of times, so that those of VMs with different
/// clocks can be added.
using counter_snapshot = std::map<counter_key, counter_values>;

void AddSnapshot(const counter_snapshot& from, counter_snapshot& to);

/// Counters of one shard, guarded by its lock; snapshots of shards are added.
class service_counters {
 public:
  void Count(const counter_key& key, service_event event, steady_time now);
  counter_snapshot Snapshot(steady_time now) const;

 private:
  /// Counts by buckets of equal width; old buckets are overwritten.
  class bucket_ring {
   public:
    bucket_ring(std::chrono::minutes width, std::size_t buckets);
    void Count(service_event event, steady_time now);
    /// Sum over the newest `buckets`, the one of `now` included.
    event_counts Sum(std::size_t buckets, steady_time now) const;
    /// Counts of the bucket `age` buckets before that of `now`.
    event_counts At(std::size_t age, steady_time now) const;

   private:
    struct bucket {
      std::int64_t number = -1;
      std::array<std::uint32_t, kServiceEventCount> counts{};
    };
    std::int64_t Number(steady_time now) const;

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
