#include "process/daemon/fleet_membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "connection/endpoint_call.h"
#include "connection/endpoint_client.h"
#include "connection/peer_transport.h"
#include "process/daemon/call_executor.h"
#include "process/daemon/event_log.h"
#include "process/daemon/pool_shards.h"
#include "process/daemon/settings.h"
#include "process/daemon/shard_actions.h"
#include "process/daemon/steady_clock.h"

namespace marjoramsill {
namespace {

constexpr std::chrono::milliseconds kHeartbeatTimeout{1'000};
constexpr std::chrono::milliseconds kProbeTimeout{1'000};

endpoint_registry_settings RegistrySettings(const settings& from,
                                            incarnation_number incarnation) {
  endpoint_registry_settings to;
  to.self = holder_id{from.vm, incarnation};
  return to;
}

peer_membership_settings MembershipSettings(const settings& from,
                                            incarnation_number incarnation) {
  peer_membership_settings to;
  to.self = peer_vm{from.vm, from.failure_domain};
  to.incarnation = incarnation;
  for (const fleet_vm& vm : from.fleet) {
    to.vms.push_back(peer_vm{vm.id, vm.domain});
  }
  return to;
}

std::string_view ReasonText(announcement_error::reason why) {
  switch (why) {
    case announcement_error::reason::kTooLarge:
      return "too large";
    case announcement_error::reason::kNotJson:
      return "not a JSON object";
    case announcement_error::reason::kMissing:
      return "missing or of the wrong type";
    case announcement_error::reason::kOutOfRange:
      return "out of range";
  }
  return "invalid";
}

std::optional<endpoint_state> StateField(const http_field_list& fields) {
  const http_field* field = FindField(fields, "X-Endpoint-State");
  if (field == nullptr) return std::nullopt;
  return ParseEndpointState(field->value);
}

std::optional<endpoint_load> LoadField(const http_field_list& fields) {
  const http_field* field = FindField(fields, "X-Endpoint-Load");
  if (field == nullptr) return std::nullopt;
  return ParseEndpointLoad(field->value);
}

}  // namespace

fleet_membership::fleet_membership(const settings& process_settings,
                                   incarnation_number incarnation,
                                   peer_transport& peers,
                                   endpoint_client& client, pool_shards& shards)
    : settings_(process_settings),
      peers_(peers),
      client_(client),
      shards_(shards),
      registry_(RegistrySettings(process_settings, incarnation)),
      membership_(MembershipSettings(process_settings, incarnation),
                  registry_) {}

result<announcement_response, announce_failure> fleet_membership::Announce(
    std::string_view json) {
  auto parsed = ParseAnnouncement(json);
  if (!parsed) {
    const announcement_error& error = parsed.assume_error();
    return failure(announce_failure{
        400, error.member + ": " + std::string(ReasonText(error.why))});
  }
  const std::lock_guard lock(mutex_);
  auto response = registry_.OnAnnouncement(parsed.assume_value(), SteadyNow());
  if (response) return response.assume_value();
  if (response.assume_error() == announcement_refusal::kOldIncarnation) {
    return failure(announce_failure{409, "incarnation: older than known"});
  }
  return failure(announce_failure{503, "too many endpoints"});
}

std::string fleet_membership::OnHeartbeat(std::string_view body) {
  const std::lock_guard lock(mutex_);
  auto response = membership_.OnRequest(body, SteadyNow());
  if (response) return std::move(response).assume_value();
  LogEvent(log_level::kWarning, "heartbeat_refused",
           {{"field", response.assume_error().field}});
  return {};
}

void fleet_membership::Tick() {
  const steady_time now = SteadyNow();
  std::vector<peer_request> requests;
  std::vector<probe_request> probes;
  {
    const std::lock_guard lock(mutex_);
    requests = membership_.Tick(now);
    probes = registry_.Tick(now);
  }
  SendHeartbeats(requests);
  SendProbes(probes);
  UpdateShards(now);
}

void fleet_membership::SendHeartbeats(
    const std::vector<peer_request>& requests) {
  for (const peer_request& request : requests) {
    const fleet_vm* target = settings_.FindVm(request.to);
    if (target == nullptr) continue;
    peers_.Send(
        target->peers, {"heartbeat", request.body, {}}, kHeartbeatTimeout,
        [this,
         from = request.to](const result<std::string, peer_error>& response) {
          if (!response) return;
          const std::lock_guard lock(mutex_);
          const auto accepted =
              membership_.OnResponse(response.assume_value(), SteadyNow());
          if (accepted) return;
          LogEvent(
              log_level::kWarning, "heartbeat_answer_refused",
              {{"vm", from.value()}, {"field", accepted.assume_error().field}});
        });
  }
}

void fleet_membership::SendProbes(const std::vector<probe_request>& probes) {
  for (const probe_request& probe : probes) {
    auto outcome = std::make_shared<probe_result>();
    outcome->incarnation = probe.incarnation;
    outcome->sent_at = SteadyNow();
    endpoint_call call;
    call.method = "GET";
    call.url = "http://" + probe.address + "/health";
    call.total_timeout = kProbeTimeout;
    call.on_headers = [outcome](int status, const http_field_list& fields) {
      outcome->healthy = status == 200;
      outcome->state = StateField(fields);
      outcome->load = LoadField(fields);
    };
    call.on_end = [this, outcome, id = probe.id](endpoint_call_end end) {
      outcome->healthy =
          outcome->healthy && end == endpoint_call_end::kComplete;
      const std::lock_guard lock(mutex_);
      registry_.OnProbeResult(id, *outcome, SteadyNow());
    };
    client_.Start(std::move(call));
  }
}

void fleet_membership::UpdateShards(steady_time now) {
  const std::vector<pool_shards::named_shard> shards = shards_.All();
  std::size_t vms = 1;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [pool, shard] : shards) UpdatePlacement(pool);
    CollectUpdates();
    for (const fleet_vm& vm : settings_.fleet) {
      if (vm.id != settings_.vm && membership_.IsReachable(vm.id, now)) ++vms;
    }
  }
  for (const auto& [pool, shard] : shards) {
    UpdateShard(pools_.at(pool), *shard, now, vms);
  }
}

void fleet_membership::UpdatePlacement(const model_id& pool) {
  pool_view& known = pools_[pool];
  const std::uint64_t view = registry_.view_number();
  if (known.table && known.table->view_number() == view) return;
  std::vector<placement_endpoint> members;
  for (const endpoint_status& status : registry_.ForModel(pool)) {
    const endpoint_announcement& announcement = status.endpoint;
    members.push_back({.id = announcement.id,
                       .domain = announcement.domain,
                       .capacity = announcement.capacity});
  }
  known.table = placement::Build(std::move(members), view);
  known.is_new = true;
}

void fleet_membership::CollectUpdates() {
  for (auto& [pool, view] : pools_) view.updates.clear();
  registry_.VisitServing([this](const endpoint_announcement& announcement,
                                const endpoint_availability& availability) {
    for (const model_id& pool : announcement.serves) {
      const auto found = pools_.find(pool);
      if (found == pools_.end()) continue;
      const auto index = found->second.table->IndexOf(announcement.id);
      if (!index) continue;
      found->second.updates.push_back(
          {*index,
           {availability.fresh_until, availability.admitted},
           announcement.load.total(),
           availability.load_at});
    }
  });
}

void fleet_membership::UpdateShard(pool_view& view, pool_shard& shard,
                                   steady_time now, std::size_t vms) {
  admission_actions actions;
  {
    const std::lock_guard lock(shard.mutex);
    if (view.is_new) shard.chooser.SetPlacement(view.table);
    ApplyUpdates(shard, view.updates);
    shard.chooser.Tick(now);
    shard.admission.SetCapacity(CapacityShare(shard, vms), now, actions);
    shard.admission.Tick(now, actions);
  }
  view.is_new = false;
  NotifyCalls(shard, actions);
}

dispatch_decision fleet_membership::Dispatch(const endpoint_id& id) {
  const std::lock_guard lock(mutex_);
  return registry_.Dispatch(id, SteadyNow());
}

std::optional<endpoint_status> fleet_membership::Find(
    const endpoint_id& id) const {
  const std::lock_guard lock(mutex_);
  return registry_.Find(id);
}

void fleet_membership::OnAttempt(const endpoint_id& id,
                                 const attempt_report& report,
                                 pool_shard& shard) {
  const steady_time now = SteadyNow();
  {
    const std::lock_guard lock(mutex_);
    registry_.OnAttempt(id, report, now);
  }
  if (!report.load) return;
  const std::lock_guard lock(shard.mutex);
  const auto index = shard.chooser.table().IndexOf(id);
  if (index) shard.chooser.OnReport(*index, report.load->total(), now);
}

std::vector<endpoint_status> fleet_membership::EndpointsOf(
    const model_id& pool) const {
  const std::lock_guard lock(mutex_);
  return registry_.AllOfModel(pool);
}

bool fleet_membership::IsReachable(const vm_id& vm) const {
  const std::lock_guard lock(mutex_);
  return membership_.IsReachable(vm, SteadyNow());
}

std::vector<vm_id> fleet_membership::ReachableVms() const {
  const steady_time now = SteadyNow();
  std::vector<vm_id> reachable;
  const std::lock_guard lock(mutex_);
  for (const fleet_vm& vm : settings_.fleet) {
    const bool is_peer = vm.id != settings_.vm;
    if (is_peer && membership_.IsReachable(vm.id, now)) {
      reachable.push_back(vm.id);
    }
  }
  return reachable;
}

void fleet_membership::SetVersion(document_version version) {
  const std::lock_guard lock(mutex_);
  membership_.SetVersion(version);
}

std::pair<vm_id, document_version> fleet_membership::NewestPeerVersion() const {
  const std::lock_guard lock(mutex_);
  return {membership_.newest_version_holder().value_or(vm_id()),
          membership_.newest_peer_version()};
}

std::uint64_t fleet_membership::sent_bytes() const {
  const std::lock_guard lock(mutex_);
  return membership_.bytes_sent() + registry_.probe_bytes_sent();
}

}  // namespace marjoramsill
