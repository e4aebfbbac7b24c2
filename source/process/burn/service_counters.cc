#include "process/burn/service_counters.h"

#include <algorithm>

namespace marjoramsill {
namespace {

constexpr std::size_t kBudgetHours = 720;

void Add(const event_counts& from, event_counts& to) {
  for (std::size_t i = 0; i < to.size(); ++i) to.at(i) += from.at(i);
}

}  // namespace

void AddSnapshot(const counter_snapshot& from, counter_snapshot& to) {
  for (const auto& [key, values] : from) {
    counter_values& sum = to[key];
    for (std::size_t i = 0; i < kBurnWindowCount; ++i) {
      Add(values.windows.at(i), sum.windows.at(i));
    }
    for (std::size_t i = 0; i < kSeriesPoints; ++i) {
      sum.series.at(i).good += values.series.at(i).good;
      sum.series.at(i).bad += values.series.at(i).bad;
    }
  }
}

void service_counters::Count(const counter_key& key, service_event event,
                             steady_time now) {
  rings& key_rings = rings_[key];
  key_rings.minutes.Count(event, now);
  key_rings.five_minutes.Count(event, now);
  key_rings.hours.Count(event, now);
}

counter_snapshot service_counters::Snapshot(steady_time now) const {
  counter_snapshot snapshot;
  for (const auto& [key, key_rings] : rings_) {
    counter_values& values = snapshot[key];
    values.windows = {key_rings.minutes.Sum(5, now),
                      key_rings.minutes.Sum(30, now),
                      key_rings.minutes.Sum(60, now),
                      key_rings.five_minutes.Sum(kSeriesPoints, now),
                      key_rings.hours.Sum(kBudgetHours, now)};
    for (std::size_t i = 0; i < kSeriesPoints; ++i) {
      const event_counts counts =
          key_rings.five_minutes.At(kSeriesPoints - 1 - i, now);
      series_point& point = values.series.at(i);
      for (std::size_t event = 0; event < kServiceEventCount; ++event) {
        const bool good =
            event == static_cast<std::size_t>(service_event::kGood);
        (good ? point.good : point.bad) += counts.at(event);
      }
    }
  }
  return snapshot;
}

service_counters::bucket_ring::bucket_ring(std::chrono::minutes width,
                                           std::size_t buckets)
    : width_(width), buckets_(buckets) {}

std::int64_t service_counters::bucket_ring::BucketNumber(
    steady_time now) const {
  return now.time_since_epoch() / width_;
}

void service_counters::bucket_ring::Count(service_event event,
                                          steady_time now) {
  const std::int64_t number = BucketNumber(now);
  bucket& current =
      buckets_.at(static_cast<std::size_t>(number) % buckets_.size());
  if (current.number != number) current = {.number = number, .counts = {}};
  ++current.counts.at(static_cast<std::size_t>(event));
}

event_counts service_counters::bucket_ring::Sum(std::size_t buckets,
                                                steady_time now) const {
  event_counts sum{};
  for (std::size_t age = 0; age < buckets; ++age) Add(At(age, now), sum);
  return sum;
}

event_counts service_counters::bucket_ring::At(std::size_t age,
                                               steady_time now) const {
  event_counts counts{};
  const std::int64_t number =
      BucketNumber(now) - static_cast<std::int64_t>(age);
  if (number < 0 || age >= buckets_.size()) return counts;
  const bucket& found =
      buckets_.at(static_cast<std::size_t>(number) % buckets_.size());
  if (found.number != number) return counts;
  std::copy(found.counts.begin(), found.counts.end(), counts.begin());
  return counts;
}

}  // namespace marjoramsill
