#include "connection/machine_memory.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <fstream>
#include <string>

#include "connection/memory_budget.h"

namespace marjoramsill {
namespace {

constexpr const char* kGroupLimitFile = "/sys/fs/cgroup/memory.max";

std::optional<std::size_t> PhysicalMemory() {
  const std::int64_t pages = ::sysconf(_SC_PHYS_PAGES);
  const std::int64_t page_bytes = ::sysconf(_SC_PAGESIZE);
  if (pages <= 0 || page_bytes <= 0) return std::nullopt;
  return static_cast<std::size_t>(pages) * static_cast<std::size_t>(page_bytes);
}

std::optional<std::size_t> ProcessLimit(int resource) {
  rlimit limit{};
  if (::getrlimit(static_cast<__rlimit_resource>(resource), &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(limit.rlim_cur);
}

std::optional<std::size_t> GroupLimit() {
  std::ifstream file(kGroupLimitFile);
  std::string text;
  if (!(file >> text)) return std::nullopt;
  return ParseGroupLimit(text);
}

}  // namespace

memory_bounds ReadMemoryBounds() {
  return {PhysicalMemory(), ProcessLimit(RLIMIT_AS), ProcessLimit(RLIMIT_DATA),
          GroupLimit()};
}

std::optional<std::size_t> LeastBound(const memory_bounds& bounds) {
  std::optional<std::size_t> least;
  for (const auto& each : {bounds.physical, bounds.address_space, bounds.data,
                           bounds.control_group}) {
    if (each) least = std::min(least.value_or(*each), *each);
  }
  return least;
}

std::size_t RequestMemory(std::uint32_t memory_mb) {
  if (memory_mb > 0) return memory_budget::LimitFor(memory_mb, std::nullopt);
  return memory_budget::LimitFor(0, LeastBound(ReadMemoryBounds()));
}

std::optional<std::size_t> ParseGroupLimit(std::string_view text) {
  std::size_t bytes = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, bytes);
  if (error != std::errc() || stop != end) return std::nullopt;
  return bytes;
}

}  // namespace marjoramsill
