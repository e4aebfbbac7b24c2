#include "membership_simulation.h"

#include <algorithm>

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{100};
constexpr milliseconds kCheckInterval{50};
constexpr milliseconds kMaxUseAfterEnd{3000};
const model_id kModel("drafting");

}  // namespace

membership_simulation::membership_simulation(const simulation_options& options)
    : options_(options), random_(options.seed) {
  vms_.resize(options.domains * options.vms_per_domain);
  endpoints_.resize(options.domains * options.endpoints_per_domain);
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    StartVm(i);
    const auto phase = std::chrono::microseconds(random_() % 100000);
    At(now_ + phase, [this, i] { TickVm(i); });
    if (options_.requests_per_vm_second > 0) {
      At(now_ + phase, [this, i] { RequestFrom(i); });
    }
    if (options_.check_dispatch) At(now_, [this, i] { CheckVm(i); });
  }
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    endpoints_[i].target = PickTarget(i);
    const auto phase = std::chrono::microseconds(random_() % 1000000);
    At(now_ + phase, [this, i] { Announce(i); });
  }
  At(now_ + milliseconds(1000), [this] { MeasureBytes(); });
}

double membership_simulation::Random() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

std::size_t membership_simulation::PickTarget(std::size_t endpoint) {
  if (!options_.announce_in_domain) return random_() % vms_.size();
  return DomainOfEndpoint(endpoint) * options_.vms_per_domain +
         random_() % options_.vms_per_domain;
}

void membership_simulation::At(steady_time when, std::function<void()> action) {
  events_.emplace(when, std::move(action));
}

void membership_simulation::Run(milliseconds duration) {
  const steady_time end = now_ + duration;
  while (!events_.empty() && events_.begin()->first <= end) {
    auto node = events_.extract(events_.begin());
    now_ = node.key();
    node.mapped()();
  }
  now_ = end;
}

endpoint_id membership_simulation::IdOf(std::size_t endpoint) const {
  return endpoint_id("engine-" + std::to_string(endpoint));
}

vm_id membership_simulation::VmId(std::size_t vm) const {
  return vm_id("vm-" + std::to_string(vm));
}

std::size_t membership_simulation::DomainOfVm(std::size_t vm) const {
  return vm / options_.vms_per_domain;
}

std::size_t membership_simulation::DomainOfEndpoint(
    std::size_t endpoint) const {
  return endpoint / options_.endpoints_per_domain;
}

void membership_simulation::StartVm(std::size_t vm) {
  simulated_vm& state = vms_[vm];
  const auto domain = [](std::size_t at) {
    return failure_domain_id("domain-" + std::to_string(at));
  };
  endpoint_registry_settings settings;
  settings.self = {VmId(vm), incarnation_number(state.incarnation)};
  settings.remove_silent_after = options_.remove_silent_after;
  state.registry = std::make_unique<endpoint_registry>(settings);
  peer_membership_settings peers;
  peers.self = {VmId(vm), domain(DomainOfVm(vm))};
  peers.incarnation = incarnation_number(state.incarnation);
  peers.remove_holder_after = options_.remove_holder_after;
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    peers.vms.push_back({VmId(i), domain(DomainOfVm(i))});
  }
  state.peers = std::make_unique<peer_membership>(peers, *state.registry);
  state.bytes_at_last_measurement = 0;
}

void membership_simulation::Deliver(std::size_t vm, std::uint64_t incarnation,
                                    const std::function<void()>& action) {
  simulated_vm& state = vms_[vm];
  if (!state.running || state.incarnation != incarnation) return;
  if (now_ < state.frozen_until) {
    state.queued_actions.push_back(action);
  } else {
    action();
  }
}

void membership_simulation::TickVm(std::size_t vm) {
  simulated_vm& state = vms_[vm];
  At(now_ + kTickInterval, [this, vm] { TickVm(vm); });
  if (!state.running || now_ < state.frozen_until) return;
  // After a freeze, the process handles queued messages before its timers.
  const auto queued_actions = std::exchange(state.queued_actions, {});
  for (const auto& action : queued_actions) action();
  for (const probe_request& probe : state.registry->Tick(now_)) {
    Probe(vm, probe);
  }
  for (const peer_request& request : state.peers->Tick(now_)) {
    ExchangeHeartbeat(vm, request);
  }
}

std::optional<std::chrono::microseconds> membership_simulation::Delay() {
  if (Random() < options_.lost_share) return std::nullopt;
  if (Random() < options_.delayed_share) {
    return std::chrono::microseconds(static_cast<std::int64_t>(
        Random() * 1000.0 * static_cast<double>(options_.max_delay.count())));
  }
  return std::chrono::microseconds(500 + random_() % 2000);
}

bool membership_simulation::AreVmsConnected(std::size_t a,
                                            std::size_t b) const {
  if (vms_[a].isolated || vms_[b].isolated) return false;
  return DomainOfVm(a) == DomainOfVm(b) ||
         (!cut_domains_.contains(DomainOfVm(a)) &&
          !cut_domains_.contains(DomainOfVm(b)));
}

bool membership_simulation::IsEndpointConnected(std::size_t vm,
                                                std::size_t endpoint) const {
  const std::size_t domain = DomainOfEndpoint(endpoint);
  return domain == DomainOfVm(vm) || (!cut_domains_.contains(domain) &&
                                      !cut_domains_.contains(DomainOfVm(vm)));
}

void membership_simulation::ExchangeHeartbeat(std::size_t from,
                                              const peer_request& request) {
  const std::size_t to =
      static_cast<std::size_t>(std::stoul(request.to.value().substr(3)));
  const std::uint64_t from_incarnation = vms_[from].incarnation;
  const int copies = Random() < options_.duplicate_share ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const auto request_delay = Delay();
    if (!request_delay.has_value() || !AreVmsConnected(from, to)) continue;
    At(now_ + *request_delay,
       [this, from, to, from_incarnation, body = request.body] {
         if (!AreVmsConnected(from, to)) return;
         Deliver(to, vms_[to].incarnation,
                 [this, from, to, from_incarnation, body] {
                   auto response = vms_[to].peers->OnRequest(body, now_);
                   const auto response_delay = Delay();
                   if (!response || !response_delay.has_value()) return;
                   At(now_ + *response_delay,
                      [this, from, to, from_incarnation,
                       received = std::move(response.value())] {
                        if (!AreVmsConnected(from, to)) return;
                        Deliver(from, from_incarnation, [this, from, received] {
                          (void)vms_[from].peers->OnResponse(received, now_);
                        });
                      });
                 });
       });
  }
}

// Announcements have a fixed schedule. An endpoint skips an announcement while
// the previous one is in flight.
void membership_simulation::Announce(std::size_t endpoint) {
  At(now_ + milliseconds(1000), [this, endpoint] { Announce(endpoint); });
  simulated_endpoint& state = endpoints_[endpoint];
  if (!state.running || state.in_flight) return;
  // The load balancer selects another VM when the current one is unreachable.
  for (int i = 0; i < 20; ++i) {
    const simulated_vm& vm = vms_[state.target];
    if (vm.running && now_ >= vm.frozen_until &&
        IsEndpointConnected(state.target, endpoint)) {
      break;
    }
    state.target = PickTarget(endpoint);
  }
  SendAnnouncement(endpoint, state.target);
}

void membership_simulation::SendAnnouncement(std::size_t endpoint,
                                             std::size_t vm) {
  simulated_endpoint& state = endpoints_[endpoint];
  endpoint_announcement announcement;
  announcement.id = IdOf(endpoint);
  announcement.incarnation = incarnation_number(state.incarnation);
  announcement.address = "10.0.0." + std::to_string(endpoint % 250) + ":8000";
  announcement.domain =
      failure_domain_id("domain-" + std::to_string(DomainOfEndpoint(endpoint)));
  announcement.state =
      state.leaving ? endpoint_state::kLeaving : endpoint_state::kActive;
  announcement.serves = {kModel};
  announcement.capacity = 32;
  const auto delay = Delay();
  if (!delay.has_value()) return;
  state.in_flight = true;
  const std::uint64_t incarnation = state.incarnation;
  At(now_ + *delay, [this, endpoint, vm, incarnation, announcement] {
    if (endpoints_[endpoint].incarnation == incarnation) {
      endpoints_[endpoint].in_flight = false;
    }
    if (!IsEndpointConnected(vm, endpoint)) return;
    Deliver(vm, vms_[vm].incarnation, [this, vm, announcement] {
      (void)vms_[vm].registry->OnAnnouncement(announcement, now_);
    });
  });
}

void membership_simulation::Probe(std::size_t vm, const probe_request& probe) {
  const std::size_t endpoint =
      static_cast<std::size_t>(std::stoul(probe.id.value().substr(7)));
  const auto request_delay = Delay();
  const auto response_delay = Delay();
  if (!request_delay.has_value() || !response_delay.has_value()) return;
  const std::uint64_t vm_incarnation = vms_[vm].incarnation;
  const steady_time sent = now_;
  At(now_ + *request_delay, [this, vm, endpoint, sent, vm_incarnation,
                             response_delay = *response_delay] {
    const simulated_endpoint& state = endpoints_[endpoint];
    if (!state.running || !IsEndpointConnected(vm, endpoint)) return;
    probe_result response{
        incarnation_number(state.incarnation), true, sent,
        state.leaving ? endpoint_state::kLeaving : endpoint_state::kActive,
        std::nullopt};
    At(now_ + response_delay, [this, vm, endpoint, vm_incarnation, response] {
      Deliver(vm, vm_incarnation, [this, vm, endpoint, response] {
        vms_[vm].registry->OnProbeResult(IdOf(endpoint), response, now_);
      });
    });
  });
}

void membership_simulation::Attempt(std::size_t vm, std::size_t endpoint) {
  const simulated_endpoint& state = endpoints_[endpoint];
  const auto known = vms_[vm].registry->Find(IdOf(endpoint));
  const bool succeeds =
      state.running && IsEndpointConnected(vm, endpoint) &&
      known->endpoint.incarnation == incarnation_number(state.incarnation);
  attempt_report report{known->endpoint.incarnation, succeeds, now_,
                        std::nullopt, endpoint_load{1, 0}};
  if (succeeds) {
    report.state =
        state.leaving ? endpoint_state::kLeaving : endpoint_state::kActive;
  }
  const std::uint64_t incarnation = vms_[vm].incarnation;
  At(now_ + milliseconds(20), [this, vm, endpoint, incarnation, report] {
    Deliver(vm, incarnation, [this, vm, endpoint, report] {
      vms_[vm].registry->OnAttempt(IdOf(endpoint), report, now_);
    });
  });
}

bool membership_simulation::IsUsable(std::size_t vm, std::size_t endpoint) {
  return vms_[vm].registry->Inspect(IdOf(endpoint), now_) ==
         dispatch_decision::kUsable;
}

void membership_simulation::RequestFrom(std::size_t vm) {
  const double gap = std::exponential_distribution<double>(
      options_.requests_per_vm_second)(random_);
  At(now_ + std::chrono::microseconds(static_cast<std::int64_t>(gap * 1e6)),
     [this, vm] { RequestFrom(vm); });
  const std::size_t count = options_.endpoints_per_domain;
  const std::size_t endpoint = DomainOfVm(vm) * count + random_() % count;
  if (!vms_[vm].running || endpoints_[endpoint].ended_at.has_value()) return;
  const dispatch_decision decision =
      vms_[vm].registry->Dispatch(IdOf(endpoint), now_);
  ++checked_requests_;
  if (decision != dispatch_decision::kUsable) ++stale_requests_;
}

void membership_simulation::CheckVm(std::size_t vm) {
  At(now_ + kCheckInterval, [this, vm] { CheckVm(vm); });
  if (!vms_[vm].running || now_ < vms_[vm].frozen_until) return;
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    const dispatch_decision decision =
        vms_[vm].registry->Inspect(IdOf(i), now_);
    const bool own = DomainOfEndpoint(i) == DomainOfVm(vm);
    if (decision == dispatch_decision::kNeedsProbe &&
        Random() < (own ? 0.1 : 0.01)) {
      (void)vms_[vm].registry->Dispatch(IdOf(i), now_);
    }
    if (decision != dispatch_decision::kUsable) continue;
    const auto& ended = endpoints_[i].ended_at;
    if (ended.has_value() && now_ > *ended + kMaxUseAfterEnd) {
      violations_.push_back(
          VmId(vm).value() + " may use " + IdOf(i).value() + " " +
          std::to_string((now_ - *ended).count() / 1000) + " ms after its end");
    }
    if (Random() < options_.attempt_share) Attempt(vm, i);
  }
}

void membership_simulation::MeasureBytes() {
  At(now_ + milliseconds(1000), [this] { MeasureBytes(); });
  for (simulated_vm& state : vms_) {
    const std::uint64_t bytes =
        state.peers->bytes_sent() + state.registry->probe_bytes_sent();
    peak_bytes_ =
        std::max(peak_bytes_, bytes - state.bytes_at_last_measurement);
    state.bytes_at_last_measurement = bytes;
  }
}

void membership_simulation::StopEndpoint(std::size_t endpoint) {
  simulated_endpoint& state = endpoints_[endpoint];
  state.running = false;
  if (!state.ended_at.has_value()) state.ended_at = now_;
}

void membership_simulation::RestartEndpoint(std::size_t endpoint) {
  simulated_endpoint& state = endpoints_[endpoint];
  if (state.running && !state.leaving) return;
  ++state.incarnation;
  state.running = true;
  state.leaving = false;
  state.in_flight = false;
  state.ended_at.reset();
}

void membership_simulation::LeaveEndpoint(std::size_t endpoint) {
  simulated_endpoint& state = endpoints_[endpoint];
  if (!state.running) return;
  state.leaving = true;
  if (!state.ended_at.has_value()) state.ended_at = now_;
}

void membership_simulation::FreezeVm(std::size_t vm, milliseconds duration) {
  vms_[vm].frozen_until = now_ + duration;
}

void membership_simulation::StopVm(std::size_t vm) {
  vms_[vm].running = false;
  vms_[vm].queued_actions.clear();
}

void membership_simulation::RestartVm(std::size_t vm) {
  if (vms_[vm].running) return;
  ++vms_[vm].incarnation;
  vms_[vm].running = true;
  vms_[vm].frozen_until = steady_time{};
  StartVm(vm);
}

void membership_simulation::IsolateVm(std::size_t vm, bool cut) {
  vms_[vm].isolated = cut;
}

void membership_simulation::CutDomain(std::size_t domain, bool cut) {
  if (cut) {
    cut_domains_.insert(domain);
  } else {
    cut_domains_.erase(domain);
  }
}

void membership_simulation::SetFaults(double delayed, double lost,
                                      double duplicate) {
  options_.delayed_share = delayed;
  options_.lost_share = lost;
  options_.duplicate_share = duplicate;
}

bool membership_simulation::HasConverged() const {
  std::set<std::string> expected;
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    const simulated_endpoint& state = endpoints_[i];
    if (!state.running || state.leaving) continue;
    expected.insert(IdOf(i).value() + "#" + std::to_string(state.incarnation));
  }
  for (const simulated_vm& state : vms_) {
    if (!state.running) continue;
    std::set<std::string> seen;
    for (const endpoint_status& status : state.registry->ForModel(kModel)) {
      seen.insert(status.endpoint.id.value() + "#" +
                  std::to_string(status.endpoint.incarnation.value()));
    }
    if (seen != expected ||
        state.registry->Fingerprint() !=
            vms_[FirstRunningVm()].registry->Fingerprint()) {
      return false;
    }
  }
  return true;
}

std::size_t membership_simulation::FirstRunningVm() const {
  std::size_t at = 0;
  while (at + 1 < vms_.size() && !vms_[at].running) ++at;
  return at;
}

std::string membership_simulation::DescribeViews() const {
  std::string text;
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    text += VmId(i).value() + (vms_[i].running ? ":" : " (down):");
    for (const auto& status : vms_[i].registry->ForModel(kModel)) {
      text += " " + status.endpoint.id.value() + "#" +
              std::to_string(status.endpoint.incarnation.value());
    }
    text += "\n";
  }
  return text;
}

}  // namespace marjoramsill
