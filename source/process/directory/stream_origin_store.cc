#include "process/directory/stream_origin_store.h"

#include <algorithm>
#include <cstddef>

namespace marjoramsill {
namespace {

/// Largest number of origins in one message, about 8 KB.
constexpr std::size_t kMaxOrigins = 500;

}  // namespace

void stream_origin_store::Record(const stream_origin& origin, steady_time now) {
  const bool is_new =
      software_by_stream_.try_emplace(origin.stream.value(), origin.software)
          .second;
  if (is_new) origins_.push_back({++last_number_, origin, now});
}

std::optional<software_digest> stream_origin_store::Find(
    stream_digest stream) const {
  const auto found = software_by_stream_.find(stream.value());
  if (found == software_by_stream_.end()) return std::nullopt;
  return found->second;
}

std::vector<stream_origin> stream_origin_store::TakeAfter(
    std::uint64_t& number) const {
  auto it =
      std::upper_bound(origins_.begin(), origins_.end(), number,
                       [](std::uint64_t after, const numbered_origin& each) {
                         return after < each.number;
                       });
  std::vector<stream_origin> taken;
  for (; it != origins_.end() && taken.size() < kMaxOrigins; ++it) {
    taken.push_back(it->origin);
    number = it->number;
  }
  return taken;
}

void stream_origin_store::Expire(steady_time now) {
  while (!origins_.empty() &&
         now - origins_.front().recorded_at > kStreamOriginLifetime) {
    software_by_stream_.erase(origins_.front().origin.stream.value());
    origins_.pop_front();
  }
}

}  // namespace marjoramsill
