#include "process/directory/software_history.h"

#include <algorithm>
#include <chrono>

#include "process/directory/endpoint_record.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// Longer than the time limit of any route with streams.
constexpr milliseconds kLifetime{120'000};
/// About 700 bytes of a message. A fleet has a few versions at a time.
constexpr std::size_t kMaxPresences = 48;

}  // namespace

void software_history::Record(const endpoint_record& former,
                              steady_time seen_at) {
  Add(DigestOf(former.pool), DigestOfSoftware(former), seen_at);
}

void software_history::Merge(const std::vector<software_presence>& presences,
                             steady_time now) {
  for (const software_presence& each : presences) {
    Add(each.pool, each.software, now - each.age);
  }
}

void software_history::Add(pool_digest pool, software_digest software,
                           steady_time seen_at) {
  const auto [known, added] = seen_.try_emplace(software, entry{pool, seen_at});
  if (!added) {
    known->second.seen_at = std::max(known->second.seen_at, seen_at);
  }
}

std::vector<software_presence> software_history::All(steady_time now) const {
  std::vector<software_presence> all;
  all.reserve(seen_.size());
  for (const auto& [software, known] : seen_) {
    const auto age =
        std::chrono::duration_cast<milliseconds>(now - known.seen_at);
    all.push_back({known.pool, software, std::max(age, milliseconds(0))});
  }
  std::sort(all.begin(), all.end(),
            [](const software_presence& a, const software_presence& b) {
              return a.age < b.age;
            });
  if (all.size() > kMaxPresences) all.resize(kMaxPresences);
  return all;
}

void software_history::Expire(steady_time now) {
  std::erase_if(seen_, [now](const auto& item) {
    return now - item.second.seen_at > kLifetime;
  });
}

}  // namespace marjoramsill
