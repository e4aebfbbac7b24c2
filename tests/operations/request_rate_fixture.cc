#include "request_rate_fixture.h"

#include <algorithm>
#include <memory>
#include <string>

namespace marjoramsill {

using std::chrono::milliseconds;

request_rate_fixture::request_rate_fixture(milliseconds interval,
                                           std::uint64_t seed)
    : interval_(interval), random_(seed) {}

soak::soak_settings request_rate_fixture::Settings(std::uint16_t port) {
  soak::soak_settings settings;
  settings.port = port;
  settings.entry_processes = kEntries;
  settings.endpoints = kEndpoints;
  settings.software = {"v1"};
  return settings;
}

request_rate_fixture::counts request_rate_fixture::Play(milliseconds duration) {
  const auto played = std::make_shared<counts>();
  const auto start = std::chrono::steady_clock::now();
  auto next = start;
  RunUntil([&] {
    const auto now = std::chrono::steady_clock::now();
    if (now >= next) {
      ++played->sent;
      Send(random_() % kEntries, "/look/", "r" + std::to_string(++number_), {},
           [played](int status) { played->served += status == 200; });
      next += interval_;
    }
    return now - start >= duration;
  });
  RunFor(milliseconds(300));
  return *played;
}

std::size_t request_rate_fixture::MostInWindow(milliseconds window,
                                               clock_time from) const {
  std::size_t most = 0;
  for (std::size_t i = 0; i < kBounded; ++i) {
    const auto& arrivals = fleet_->endpoints()[i]->arrivals();
    auto first = std::lower_bound(arrivals.begin(), arrivals.end(), from);
    for (auto last = first; last != arrivals.end(); ++last) {
      while (*last - *first > window) ++first;
      most = std::max(most, static_cast<std::size_t>(last - first + 1));
    }
  }
  return most;
}

void request_rate_fixture::Restart(soak::soak_node& node) {
  node.is_end_expected = true;
  fleet_->KillNode(node, false);
  RunFor(milliseconds(100));
  fleet_->StartNode(node);
}

void request_rate_fixture::PlayRestarts() {
  for (std::size_t i = 0; i < 3; ++i) {
    Restart(*fleet_->ControlNodes()[i]);
    Restart(*fleet_->EntryNodes()[i]);
    Play(milliseconds(2'000));
  }
}

}  // namespace marjoramsill
