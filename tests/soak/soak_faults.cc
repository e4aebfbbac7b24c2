#include "soak_faults.h"

#include <asio/steady_timer.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <utility>

namespace marjoramsill::soak {
namespace {

using std::chrono::milliseconds;

/// A control process counts as lost until it has caught up again.
constexpr milliseconds kCatchUp{4'000};

}  // namespace

soak_faults::soak_faults(asio::io_context& io, soak_fleet& fleet,
                         std::uint64_t seed)
    : io_(io), fleet_(fleet), random_(seed) {}

void soak_faults::After(milliseconds delay, std::function<void()> action) {
  auto timer = std::make_shared<asio::steady_timer>(io_, delay);
  timer->async_wait([timer, action = std::move(action)](std::error_code error) {
    if (!error) action();
  });
}

milliseconds soak_faults::RandomTime() {
  return milliseconds(200 + random_() % 2'800);
}

void soak_faults::InjectOne() {
  auto& nodes = fleet_.nodes();
  auto& links = fleet_.endpoint_links();
  auto& endpoints = fleet_.endpoints();
  switch (random_() % 4) {
    case 0:
    case 1:
      DisturbNode(*nodes[random_() % nodes.size()]);
      return;
    case 2:
      DisturbLink(*links[random_() % links.size()]);
      return;
    default:
      DisturbEndpoint(*endpoints[random_() % endpoints.size()]);
  }
}

void soak_faults::DisturbNode(soak_node& node) {
  if (node.is_control && std::exchange(control_is_lost_, true)) return;
  const milliseconds time = RandomTime();
  const std::size_t kind = random_() % 5;
  std::cout << "fault node=" << node.name << " kind=" << kind
            << " ms=" << time.count() << "\n";
  switch (kind) {
    case 0:
      node.may_end = true;
      node.process.Signal(SIGTERM);
      break;
    case 1:
      fleet_.KillNode(node, random_() % 3 == 0);
      After(time, [this, &node] {
        if (!node.process.is_running()) fleet_.StartNode(node);
      });
      break;
    case 2:
      node.is_paused = true;
      node.process.Signal(SIGSTOP);
      After(time, [&node] {
        node.is_paused = false;
        node.process.Signal(SIGCONT);
      });
      break;
    case 3:
      node.process.Signal(SIGHUP);
      break;
    default:
      DisturbLink(*node.proxy);
  }
  if (node.is_control) {
    After(time + kCatchUp, [this] { control_is_lost_ = false; });
  }
}

void soak_faults::DisturbLink(link_proxy& link) {
  static constexpr link_mode kModes[] = {
      link_mode::kDelay, link_mode::kSilent, link_mode::kSilentToTarget,
      link_mode::kSilentFromTarget, link_mode::kRefuse};
  if (random_() % 4 == 0) {
    link.Reset();
    return;
  }
  link.SetMode(kModes[random_() % 5]);
  After(RandomTime(), [&link] { link.SetMode(link_mode::kPass); });
}

void soak_faults::DisturbEndpoint(fake_endpoint& endpoint) {
  if (!endpoint.is_running()) return;
  if (random_() % 2 == 0) {
    endpoint.Leave();
  } else {
    endpoint.Crash();
  }
  After(RandomTime() + milliseconds(3'500), [&endpoint] {
    if (!endpoint.is_running()) endpoint.Start();
  });
}

}  // namespace marjoramsill::soak
