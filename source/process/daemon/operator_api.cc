#include "process/daemon/operator_api.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include "connection/http_responder.h"
#include "connection/peer_transport.h"
#include "process/burn/counters_codec.h"
#include "process/control/submission_outcome.h"
#include "process/daemon/burn_report_collection.h"
#include "process/daemon/control_plane.h"
#include "process/daemon/control_service.h"
#include "process/daemon/fleet_membership.h"
#include "process/daemon/group_status_json.h"
#include "process/daemon/leader_client.h"
#include "process/daemon/peer_kinds.h"
#include "process/daemon/policy_distribution.h"
#include "process/daemon/pool_shards.h"
#include "process/daemon/settings.h"
#include "process/daemon/steady_clock.h"
#include "version/submission.h"

namespace marjoramsill {
namespace {

using json = nlohmann::ordered_json;

constexpr std::chrono::milliseconds kSubmitTimeout{8'000};
const http_field_list kJson = {{"Content-Type", "application/json"}};

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Returns the value of a query parameter. Percent-encoding is not decoded,
/// because section names and formats do not need it.
std::string QueryValue(const std::string& query, const std::string& name) {
  const std::string key = name + "=";
  std::size_t at = 0;
  while (at < query.size()) {
    std::size_t end = query.find('&', at);
    if (end == std::string::npos) end = query.size();
    if (query.compare(at, key.size(), key) == 0) {
      return query.substr(at + key.size(), end - at - key.size());
    }
    at = end + 1;
  }
  return {};
}

std::string DetailOf(const submission_outcome& outcome) {
  if (outcome.kind == outcome_kind::kInvalid) return Describe(outcome.error);
  if (outcome.kind == outcome_kind::kDenied) {
    return std::string(DenialReasonName(outcome.reason));
  }
  return {};
}

int StatusOf(outcome_kind kind) {
  switch (kind) {
    case outcome_kind::kAccepted:
      return 200;
    case outcome_kind::kConflict:
    case outcome_kind::kDuplicateId:
      return 409;
    case outcome_kind::kDenied:
      return 403;
    case outcome_kind::kInvalid:
      return 422;
    case outcome_kind::kUnavailable:
      return 503;
  }
  return 503;
}

std::string GroupName(std::size_t number) {
  return number == 0 ? "control" : "claims-" + std::to_string(number);
}

json EndpointJson(const endpoint_status& status) {
  const endpoint_announcement& announcement = status.endpoint;
  const bool leaving = announcement.state == endpoint_state::kLeaving;
  json endpoint;
  endpoint["id"] = announcement.id.value();
  endpoint["failure_domain"] = announcement.domain.value();
  endpoint["address"] = announcement.address;
  endpoint["state"] = leaving            ? "leaving"
                      : status.silent    ? "silent"
                      : !status.admitted ? "held down"
                                         : "active";
  endpoint["capacity"] = announcement.capacity;
  endpoint["load"] = {{"running", announcement.load.running},
                      {"waiting", announcement.load.waiting}};
  return endpoint;
}

}  // namespace

void operator_api::AddTo(control_service& service) {
  service.Add("POST", "/v1/policy/submit",
              [this](const auto& request, const auto& responder) {
                Submit(request, responder);
              });
  service.Add("GET", "/v1/policy/section",
              [this](const auto& request, const auto& responder) {
                Section(request, responder);
              });
  service.Add("GET", "/v1/policy/sections",
              [this](const auto& /*request*/, const auto& responder) {
                Sections(responder);
              });
  service.Add("GET", "/v1/status",
              [this](const auto& /*request*/, const auto& responder) {
                Status(responder);
              });
  service.Add("GET", "/v1/report/burn",
              [this](const auto& request, const auto& responder) {
                Report(request, responder);
              });
}

void operator_api::Submit(const http_request& request,
                          const responder_ptr& responder) {
  const auto submitted = DecodeSubmission(request.body);
  if (!submitted) {
    json body;
    body["outcome"] = "invalid";
    body["detail"] = "the body is no submission";
    responder->Respond(400, kJson, Dump(body));
    return;
  }
  const std::string id = SubmissionIdText(submitted.assume_value().id);
  sources_.leaders.Send(
      kSubmitKind, {0, request.body}, kSubmitTimeout,
      [responder, id](const std::optional<std::string>& response) {
        submission_outcome outcome;
        if (response) {
          const auto decoded = DecodeOutcome(*response);
          if (decoded) outcome = decoded.assume_value();
        }
        json body;
        body["outcome"] = OutcomeKindName(outcome.kind);
        body["id"] = id;
        body["document"] = outcome.document.value();
        body["version"] = outcome.section.value();
        body["detail"] = DetailOf(outcome);
        body["difference"] = outcome.difference;
        responder->Respond(StatusOf(outcome.kind), kJson, Dump(body));
      });
}

void operator_api::Section(const http_request& request,
                           const responder_ptr& responder) {
  const section_name name(QueryValue(request.query, "name"));
  const section_ptr record = sources_.distribution.FindSection(name);
  if (!record || record->bytes.empty()) {
    const std::uint64_t removed = record ? record->version.value() : 0;
    responder->Respond(404, {{"X-Section-Version", std::to_string(removed)}},
                       "");
    return;
  }
  responder->Respond(
      200,
      {{"Content-Type", "application/yaml"},
       {"X-Section-Version", std::to_string(record->version.value())},
       {"X-Section-Team", record->team.value()}},
      record->bytes);
}

void operator_api::Sections(const responder_ptr& responder) {
  json list = json::array();
  for (const section_ptr& record : sources_.distribution.Sections()) {
    list.push_back({{"section", record->name.value()},
                    {"version", record->version.value()},
                    {"document", record->version.value()},
                    {"team", record->team.value()},
                    {"removed", record->bytes.empty()},
                    {"bytes", record->bytes.size()}});
  }
  responder->Respond(200, kJson, Dump(list));
}

void operator_api::Status(const responder_ptr& responder) {
  const settings& own = sources_.process_settings;
  json status;
  status["vm"] = own.vm.value();
  status["failure_domain"] = own.failure_domain.value();
  status["ready"] = sources_.is_ready();
  status["version"] = sources_.distribution.version().value();
  status["groups"] = json::array();
  if (sources_.control != nullptr) {
    const std::vector<group_status> groups = sources_.control->Status();
    for (std::size_t i = 0; i < groups.size(); ++i) {
      status["groups"].push_back(GroupStatusJson(GroupName(i), groups[i]));
    }
  }
  status["vms"] = json::array();
  for (const fleet_vm& vm : own.fleet) {
    const bool reachable =
        vm.id == own.vm || sources_.membership.IsReachable(vm.id);
    status["vms"].push_back({{"vm", vm.id.value()},
                             {"failure_domain", vm.domain.value()},
                             {"reachable", reachable}});
  }
  status["pools"] = json::object();
  for (const auto& [pool, shard] : sources_.shards.All()) {
    json endpoints = json::array();
    for (const auto& endpoint : sources_.membership.EndpointsOf(pool)) {
      endpoints.push_back(EndpointJson(endpoint));
    }
    status["pools"][pool.value()] = std::move(endpoints);
  }
  responder->Respond(200, kJson, Dump(status));
}

void operator_api::Report(const http_request& request,
                          const responder_ptr& responder) {
  const std::string format = QueryValue(request.query, "format");
  CollectBurnReport(sources_, [responder, format](const burn_report& report) {
    if (format == "html") {
      responder->Respond(200, {{"Content-Type", "text/html; charset=utf-8"}},
                         BurnReportHtml(report));
    } else if (format == "json") {
      responder->Respond(200, kJson, BurnReportJson(report));
    } else {
      responder->Respond(200, {{"Content-Type", "text/plain"}},
                         BurnReportText(report));
    }
  });
}

std::string operator_api::EncodeLocalCounters() const {
  return EncodeCounters(LocalCounters(sources_.shards));
}

}  // namespace marjoramsill
