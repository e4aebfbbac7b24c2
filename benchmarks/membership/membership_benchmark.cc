#include <malloc.h>

#include <algorithm>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <vector>

#include "membership_simulation.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kBytesBound = 3000;
constexpr double kDetectionBoundMs = 3000;

struct fleet_size {
  std::size_t vms;
  std::size_t domains;
  std::size_t endpoints;
  std::size_t warm_up_seconds;
};

struct fleet_measurements {
  double bytes = 0;
  double peak = 0;
  double stale = 0;
  double cpu_us = 0;
  double kilobytes = 0;
  double detection_ms = 0;
};

std::uint64_t BytesOf(membership_simulation& fleet) {
  std::uint64_t bytes = 0;
  for (std::size_t i = 0; i < fleet.vm_count(); ++i) {
    bytes += fleet.peers(i).bytes_sent() + fleet.registry(i).probe_bytes_sent();
  }
  return bytes;
}

simulation_options OptionsOf(const fleet_size& size) {
  simulation_options options;
  options.domains = size.domains;
  options.vms_per_domain = size.vms / size.domains;
  options.endpoints_per_domain = size.endpoints / size.domains;
  options.announce_in_domain = size.vms > 12;
  options.remove_holder_after = seconds(300);
  options.remove_silent_after = seconds(600);
  options.check_dispatch = false;
  options.requests_per_vm_second = 23;
  return options;
}

// Time until no VM considers an endpoint usable any more after it has stopped,
// or after it has announced that it leaves.
double DetectionMs(membership_simulation& fleet, std::size_t endpoint,
                   bool leaves) {
  if (leaves) {
    fleet.LeaveEndpoint(endpoint);
  } else {
    fleet.StopEndpoint(endpoint);
  }
  const steady_time start = fleet.now();
  steady_time last = start;
  while (fleet.now() - start < seconds(5)) {
    fleet.Run(milliseconds(20));
    for (std::size_t i = 0; i < fleet.vm_count(); ++i) {
      if (fleet.IsUsable(i, endpoint)) last = fleet.now();
    }
  }
  return std::chrono::duration<double, std::milli>(last - start).count();
}

fleet_measurements Measure(const fleet_size& size) {
  const std::size_t heap = mallinfo2().uordblks;
  membership_simulation fleet(OptionsOf(size));
  const auto vms = static_cast<double>(fleet.vm_count());
  fleet.Run(seconds(size.warm_up_seconds));
  fleet_measurements measured;
  measured.kilobytes =
      static_cast<double>(mallinfo2().uordblks - heap) / vms / 1024;
  constexpr int kSeconds = 10;
  const std::uint64_t before = BytesOf(fleet);
  fleet.ResetCounts();
  const std::clock_t started = std::clock();
  fleet.Run(seconds(kSeconds));
  measured.cpu_us = static_cast<double>(std::clock() - started) * 1e6 /
                    CLOCKS_PER_SEC / kSeconds / vms;
  measured.bytes =
      static_cast<double>(BytesOf(fleet) - before) / kSeconds / vms;
  measured.peak = static_cast<double>(fleet.peak_bytes());
  measured.stale = fleet.StaleShare();
  measured.detection_ms =
      std::max(DetectionMs(fleet, 0, false), DetectionMs(fleet, 1, true));
  return measured;
}

bool Report(const fleet_size& size) {
  const fleet_measurements measured = Measure(size);
  std::printf(
      "vms=%zu domains=%zu endpoints=%zu bytes_per_second=%.0f "
      "peak_bytes_in_a_second=%.0f stale_own_domain=%.4f "
      "cpu_us_per_second=%.0f kilobytes=%.0f detection_ms=%.0f\n",
      size.vms, size.domains, size.endpoints, measured.bytes, measured.peak,
      measured.stale, measured.cpu_us, measured.kilobytes,
      measured.detection_ms);
  std::fflush(stdout);
  return measured.bytes <= kBytesBound && measured.peak <= kBytesBound &&
         measured.detection_ms <= kDetectionBoundMs;
}

}  // namespace
}  // namespace marjoramsill

// Usage: benchmark_membership [all]
// "all" adds fleet sizes that take minutes.
int main(int argc, char**) {
  using marjoramsill::fleet_size;
  std::vector<fleet_size> sizes = {{6, 3, 18, 30},
                                   {6, 3, 200, 60},
                                   {30, 3, 18, 60},
                                   {30, 3, 200, 180},
                                   {110, 10, 200, 180}};
  if (argc > 1) {
    sizes.push_back({6, 3, 2100, 180});
    sizes.push_back({30, 3, 2100, 180});
    sizes.push_back({110, 10, 2100, 180});
    sizes.push_back({330, 10, 200, 120});
    sizes.push_back({330, 10, 2100, 180});
  }
  bool within_bounds = true;
  for (const fleet_size& size : sizes) {
    within_bounds = marjoramsill::Report(size) && within_bounds;
  }
  return within_bounds ? 0 : 1;
}
