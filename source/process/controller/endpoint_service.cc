#include "process/controller/endpoint_service.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "process/controller/ending_store.h"
#include "process/daemon/event_log.h"
#include "process/directory/control_watcher.h"
#include "process/directory/document_holder.h"
#include "process/directory/heartbeat_question.h"
#include "request/http_status.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// Endpoints try another control process after 1 s without a response.
constexpr milliseconds kAcknowledgeTimeout{700};
/// The clock of an endpoint may be ahead of this VM's by this time.
constexpr std::chrono::duration<std::uint64_t, std::milli> kMaxClockLead{
    24 * 3'600 * 1'000};
/// Ids go to every process of the fleet.
constexpr std::size_t kMaxIdBytes = 256;
/// Characters of an unusable id in a log line.
constexpr std::size_t kMaxLoggedId = 64;

incarnation_number WallTime() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return incarnation_number(static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(now).count()));
}

/// The start of an endpoint decides which one has an address and which record
/// of an id is the latest, so none may lie after all that follow.
bool IsInFuture(incarnation_number start) {
  return start.value() > WallTime().value() + kMaxClockLead.count();
}

}  // namespace

endpoint_service::endpoint_service(const control_dialect& dialect,
                                   watch_hub& hub,
                                   endpoint_directory& directory,
                                   const control_watcher& members,
                                   ending_store& endings,
                                   std::string own_address, named_hook is_named)
    : dialect_(dialect),
      hub_(hub),
      directory_(directory),
      members_(members),
      endings_(endings),
      own_address_(std::move(own_address)),
      is_named_(std::move(is_named)) {}

void endpoint_service::Log(const endpoint_record& record) const {
  LogEvent(log_level::kInfo, "endpoint",
           {{"endpoint", record.id.value()},
            {"phase", EndpointPhaseText(record.phase)},
            {"address", record.address},
            {"software", record.software},
            {"pool", record.pool.value()},
            {"born", std::to_string(record.incarnation.value())},
            {"sequence", std::to_string(record.sequence)},
            {"cold_ms", std::to_string(record.cold_ms)}});
}

void endpoint_service::Refuse(const endpoint_id& id, const std::string& field,
                              const response_hook& done) const {
  LogEvent(
      log_level::kWarning, "heartbeat_refused",
      {{"endpoint", id.value().substr(0, kMaxLoggedId)}, {"field", field}});
  done(kStatusBadRequest, "");
}

void endpoint_service::OnHeartbeat(const endpoint_id& id,
                                   const std::string& body,
                                   const response_hook& done, steady_time now) {
  const auto decoded = dialect_.read_heartbeat(id, body);
  if (!decoded) {
    Refuse(id, decoded.assume_error().field, done);
    return;
  }
  const endpoint_record& record = decoded.assume_value();
  if (IsInFuture(record.incarnation)) {
    Refuse(id, "start", done);
    return;
  }
  if (!TakeAddress(record, now)) {
    Refuse(id, "pool", done);
    return;
  }
  if (directory_.ReceiveHeartbeat(record, now)) {
    Log(record);
    if (IsLeavingOrEnded(record.phase)) endings_.Record(record);
    hub_.Notify(now);
  }
  if (record.phase == endpoint_phase::kReady) {
    done(kStatusOk, dialect_.heartbeat_response(own_address_));
    return;
  }
  AcknowledgeEnd(id, done, now);
}

void endpoint_service::OnEnd(const endpoint_id& id, const response_hook& done,
                             steady_time now) {
  if (id.value().size() > kMaxIdBytes) {
    Refuse(id, "id", done);
    return;
  }
  EndEndpoint(id, now);
  AcknowledgeEnd(id, done, now);
}

void endpoint_service::EndEndpoint(const endpoint_id& id, steady_time now) {
  if (!directory_.End(id, WallTime(), now)) return;
  Log(*directory_.Find(id));
  endings_.Record(*directory_.Find(id));
  hub_.Notify(now);
}

bool endpoint_service::TakeAddress(const endpoint_record& record,
                                   steady_time now) {
  if (record.phase != endpoint_phase::kReady) return true;
  const endpoint_record* known = directory_.Find(record.id);
  const bool is_same_start = known != nullptr &&
                             known->incarnation == record.incarnation &&
                             known->address == record.address;
  if (is_same_start) return true;
  const std::vector<endpoint_record> others = directory_.OtherPoolsAt(record);
  if (others.empty()) return true;
  const bool is_named = is_named_(record.pool);
  for (const endpoint_record& other : others) {
    const bool is_other_named = is_named_(other.pool);
    if (!is_named && is_other_named) return false;
    if (is_named && !is_other_named) EndEndpoint(other.id, now);
  }
  return true;
}

void endpoint_service::AcknowledgeEnd(const endpoint_id& id,
                                      const response_hook& done,
                                      steady_time now) {
  // Without a majority this process cannot notify the entry VMs.
  if (!IsInMajority(now)) {
    LogEvent(log_level::kWarning, "end_not_acknowledged",
             {{"endpoint", id.value()}, {"reason", "no_majority"}});
    done(kStatusUnavailable, "");
    return;
  }
  hub_.AwaitApplied(
      directory_.last_change(), now + kAcknowledgeTimeout,
      [this, id, done](bool applied) {
        endings_.WhenDurable(
            [this, id, done, applied] { Respond(id, applied, done); });
      },
      now);
}

void endpoint_service::Respond(const endpoint_id& id, bool applied,
                               const response_hook& done) const {
  // Entry VMs that have not applied it by now are down or partitioned. They
  // receive the change when they reconnect.
  if (!applied) {
    LogEvent(log_level::kWarning, "end_acknowledged_unseen",
             {{"endpoint", id.value()}});
  }
  done(kStatusOk, dialect_.heartbeat_response(own_address_));
}

bool endpoint_service::IsInMajority(steady_time now) const {
  const std::size_t members = members_.members().size();
  return 2 * (members_.Reachable(now).size() + 1) > members;
}

void endpoint_service::OnRecords(const std::vector<endpoint_record>& records,
                                 steady_time now) {
  // The process that received the heartbeat notifies the entry VMs. This
  // process only includes the change in its next watch response.
  for (const endpoint_record& record : records) {
    const bool is_changed = directory_.Merge(record, now);
    if (is_changed && IsLeavingOrEnded(record.phase)) endings_.Record(record);
  }
}

std::string endpoint_service::HeartbeatStates(std::string_view questions,
                                              steady_time now) const {
  const auto decoded = DecodeHeartbeatQuestions(questions);
  if (!decoded) return "";
  std::vector<heartbeat_state> states;
  states.reserve(decoded->size());
  for (const heartbeat_question& each : *decoded) {
    states.push_back(directory_.HeartbeatsSince(each.id, each.incarnation,
                                                now - each.period));
  }
  return EncodeHeartbeatStates(states);
}

void endpoint_service::Tick(steady_time now) {
  if (directory_.Expire(now)) hub_.Notify(now);
}

}  // namespace marjoramsill
