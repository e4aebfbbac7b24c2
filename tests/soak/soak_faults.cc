#include "soak_faults.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace marjoramsill::soak {
namespace {

using std::chrono::milliseconds;

/// A restarted control process counts as down until it has had this time to
/// catch up.
constexpr milliseconds kCatchUpTime{4'000};
/// Time from the end of all entry processes to their start.
constexpr milliseconds kEntriesDown{300};
/// Time that an endpoint takes to start again.
constexpr milliseconds kEndpointRestart{400};
/// Time for which a sound endpoint may be silent.
constexpr milliseconds kSilence{1'600};

}  // namespace

soak_faults::soak_faults(asio::io_context& io, soak_fleet& fleet,
                         std::uint64_t seed)
    : io_(io), fleet_(fleet), random_(seed) {}

void soak_faults::RunAfter(milliseconds delay, std::function<void()> action) {
  auto timer = std::make_shared<asio::steady_timer>(io_, delay);
  timer->async_wait([timer, action = std::move(action)](std::error_code error) {
    if (!error) action();
  });
}

milliseconds soak_faults::RandomDuration() {
  return milliseconds(200 + random_() % 2'800);
}

void soak_faults::InjectFault() {
  auto& nodes = fleet_.nodes();
  auto& links = fleet_.endpoint_links();
  auto& endpoints = fleet_.endpoints();
  switch (random_() % 6) {
    case 5:
      RestartEntries();
      return;
    case 0:
    case 1:
      InjectNodeFault(*nodes[random_() % nodes.size()]);
      return;
    case 2:
      InjectLinkFault(*links[random_() % links.size()]);
      return;
    case 3:
      CutEntries();
      return;
    default:
      InjectEndpointFault(*endpoints[random_() % endpoints.size()]);
  }
}

void soak_faults::InjectNodeFault(soak_node& node) {
  if (node.is_control && std::exchange(is_control_down_, true)) return;
  const milliseconds time = RandomDuration();
  const std::size_t kind = random_() % 5;
  std::cout << "fault node=" << node.name << " kind=" << kind
            << " ms=" << time.count() << "\n";
  switch (kind) {
    case 0:
      node.is_end_expected = true;
      node.process.Signal(SIGTERM);
      break;
    case 1:
      fleet_.KillNode(node, random_() % 3 == 0);
      RunAfter(time, [this, &node] {
        if (!node.process.is_running()) fleet_.StartNode(node);
      });
      break;
    case 2:
      fleet_.PauseNode(node);
      RunAfter(time, [this, &node] { fleet_.ResumeNode(node); });
      break;
    case 3:
      node.process.Signal(SIGHUP);
      break;
    default:
      InjectLinkFault(*node.proxy);
  }
  if (node.is_control) {
    RunAfter(time + kCatchUpTime, [this] { is_control_down_ = false; });
  }
}

void soak_faults::InjectLinkFault(link_proxy& link) {
  static constexpr link_mode kModes[] = {
      link_mode::kDelay, link_mode::kDropAll, link_mode::kDropToTarget,
      link_mode::kDropFromTarget, link_mode::kRefuse};
  if (random_() % 4 == 0) {
    link.Reset();
    return;
  }
  link.SetMode(kModes[random_() % 5]);
  RunAfter(RandomDuration(), [&link] { link.SetMode(link_mode::kPass); });
}

void soak_faults::CutEntries() {
  if (std::exchange(is_entry_cut_, true)) return;
  static constexpr cut_form kForms[] = {cut_form::kSilent, cut_form::kReset,
                                        cut_form::kKept};
  std::vector<soak_node*> entries = fleet_.EntryNodes();
  std::shuffle(entries.begin(), entries.end(), random_);
  entries.resize(1 + random_() % entries.size());
  const std::size_t form = random_() % 3;
  std::cout << "fault cut entries=" << entries.size() << " form=" << form
            << "\n";
  fleet_.CutFromEndpoints(entries, kForms[form]);
  RunAfter(RandomDuration(), [this] {
    fleet_.CutFromEndpoints({}, cut_form::kKept);
    is_entry_cut_ = false;
  });
}

void soak_faults::RestartEntries() {
  // One in three, so that the fleet serves most of the time.
  if (random_() % 3 != 0) return;
  auto& endpoints = fleet_.endpoints();
  const std::size_t replaced = random_() % endpoints.size();
  std::cout << "fault restart of all entries, replaced=" << replaced << "\n";
  for (std::size_t i = 0; i < replaced; ++i) ReplaceSoftware(*endpoints[i]);
  for (soak_node* node : fleet_.EntryNodes()) {
    node->is_end_expected = true;
    fleet_.KillNode(*node, false);
    RunAfter(kEntriesDown, [this, node] {
      if (!node->process.is_running()) fleet_.StartNode(*node);
    });
  }
}

void soak_faults::ReplaceSoftware(fake_endpoint& endpoint) {
  if (!endpoint.is_running()) return;
  endpoint.Crash();
  endpoint.SetSoftware(endpoint.software() == "v1" ? "v1.1" : "v1");
  RunAfter(kEndpointRestart, [&endpoint] {
    if (!endpoint.is_running()) endpoint.Start();
  });
}

void soak_faults::FallSilent(fake_endpoint& endpoint) {
  const auto set_all = [this, &endpoint](bool is_on) {
    for (const auto& each : fleet_.endpoints()) {
      if (each.get() == &endpoint) {
        each->SetSilent(is_on);
      } else {
        each->SetFull(is_on);
      }
    }
  };
  set_all(true);
  RunAfter(kSilence, [set_all] { set_all(false); });
}

void soak_faults::InjectEndpointFault(fake_endpoint& endpoint) {
  if (!endpoint.is_running()) return;
  const std::size_t kind = random_() % 8;
  if (kind == 7) {
    endpoint.SetLeavingInResponses();
    RunAfter(RandomDuration() + kEndpointRestart, [&endpoint] {
      if (endpoint.is_running()) endpoint.Crash();
    });
    RunAfter(milliseconds(4'000), [&endpoint] {
      if (!endpoint.is_running()) endpoint.Start();
    });
    return;
  }
  if (kind == 5) {
    static constexpr const char* kPauses[] = {"1", "1.5", "3", "0", "soon"};
    endpoint.SetPausing(kPauses[random_() % 5]);
    RunAfter(RandomDuration(),
             [&endpoint] { endpoint.SetPausing(std::nullopt); });
    return;
  }
  if (kind == 6) {
    ReplaceSoftware(endpoint);
    return;
  }
  if (kind == 3) {
    endpoint.SetUnframed(true);
    RunAfter(RandomDuration(), [&endpoint] { endpoint.SetUnframed(false); });
    return;
  }
  if (kind == 4) {
    FallSilent(endpoint);
    return;
  }
  if (kind == 0) {
    constexpr double kLimit = 5;
    endpoint.SetLimit(kLimit);
    RunAfter(RandomDuration(),
             [&endpoint] { endpoint.SetLimit(std::nullopt); });
    return;
  }
  if (kind == 1) {
    endpoint.Leave();
  } else {
    endpoint.Crash();
  }
  RunAfter(RandomDuration() + milliseconds(3'500), [&endpoint] {
    if (!endpoint.is_running()) endpoint.Start();
  });
}

}  // namespace marjoramsill::soak
