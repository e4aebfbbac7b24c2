#include "process/placement/duration_baseline.h"

#include <xxhash.h>

#include <algorithm>
#include <cstddef>

namespace marjoramsill {
namespace {

/// Samples before a duration can be called usual.
constexpr std::uint32_t kMinSamples = 10;
/// The mean covers about this number of samples.
constexpr std::uint32_t kAveragedSamples = 100;
/// Routes of former documents are forgotten beyond this number.
constexpr std::size_t kMaxMeans = 1'000;

}  // namespace

std::optional<double> duration_baseline::Compare(work_kind kind,
                                                 std::string_view route,
                                                 double log_ratio) {
  if (means_.size() >= kMaxMeans) means_.clear();
  mean& usual = means_[{kind, XXH3_64bits(route.data(), route.size())}];
  usual.count = std::min(usual.count + 1, kAveragedSamples);
  const double difference = log_ratio - usual.value;
  usual.value += difference / usual.count;
  if (usual.count < kMinSamples) return std::nullopt;
  return difference;
}

}  // namespace marjoramsill
