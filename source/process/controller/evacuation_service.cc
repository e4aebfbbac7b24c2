#include "process/controller/evacuation_service.h"

#include <chrono>
#include <optional>
#include <string_view>
#include <utility>

#include "process/controller/document_store.h"
#include "process/daemon/event_log.h"
#include "process/daemon/peer_kinds.h"
#include "process/directory/control_watcher.h"
#include "process/directory/evacuation_set.h"

namespace marjoramsill {
namespace {

/// Shorter than the second after which operators try another control process.
constexpr std::chrono::milliseconds kLeaderTimeout{900};

// Responses to the control process that forwarded an order. An empty one means
// that the outcome is unknown, as from processes of earlier builds.
constexpr std::string_view kAcknowledgedText = "acknowledged";
constexpr std::string_view kFullText = "full";

evacuation_outcome OutcomeOf(std::string_view response) {
  if (response == kAcknowledgedText) return evacuation_outcome::kAcknowledged;
  if (response == kFullText) return evacuation_outcome::kFull;
  return evacuation_outcome::kUnknown;
}

std::string ResponseOf(evacuation_outcome outcome) {
  switch (outcome) {
    case evacuation_outcome::kAcknowledged:
      return std::string(kAcknowledgedText);
    case evacuation_outcome::kFull:
      return std::string(kFullText);
    case evacuation_outcome::kInvalid:
    case evacuation_outcome::kUnknown:
      break;
  }
  return "";
}

void LogOrder(const evacuation_order& order, evacuation_outcome outcome) {
  LogEvent(log_level::kInfo, "evacuation_order",
           {{"domain", order.domain.value()},
            {"order", order.evacuates ? "evacuate" : "withdraw"},
            {"outcome", EvacuationOutcomeText(outcome)}});
}

}  // namespace

const char* EvacuationOutcomeText(evacuation_outcome outcome) {
  switch (outcome) {
    case evacuation_outcome::kAcknowledged:
      return "acknowledged";
    case evacuation_outcome::kInvalid:
      return "invalid";
    case evacuation_outcome::kFull:
      return "full";
    case evacuation_outcome::kUnknown:
      break;
  }
  return "unknown";
}

evacuation_service::evacuation_service(document_store& store,
                                       control_watcher& members)
    : store_(store), members_(members) {}

void evacuation_service::OnRequest(const std::string& method,
                                   const failure_domain_id& domain,
                                   const outcome_hook& done) {
  const evacuation_order order{domain, method == "POST"};
  const auto finish = [order, done](evacuation_outcome outcome) {
    LogOrder(order, outcome);
    done(outcome);
  };
  if ((!order.evacuates && method != "DELETE") ||
      !IsValidEvacuationDomain(domain)) {
    finish(evacuation_outcome::kInvalid);
    return;
  }
  std::string command = EncodeEvacuationOrder(order);
  const auto leader = store_.leader();
  if (store_.IsLeading() || !leader) {
    Accept(command, finish);
    return;
  }
  members_.Request(*leader, std::string(kEvacuationOrderKind),
                   std::move(command), kLeaderTimeout,
                   [finish](const std::optional<std::string>& response) {
                     finish(OutcomeOf(response.value_or("")));
                   });
}

/// An order that would change nothing is acknowledged without a log entry. The
/// lease is checked after the state is read, so that the state is the newest
/// that was acknowledged before the check. While an earlier order is not
/// committed yet, the state does not show what it will be.
void evacuation_service::Accept(const std::string& command,
                                const outcome_hook& done) {
  const auto order = DecodeEvacuationOrder(command);
  if (!order || !store_.IsLeading()) {
    done(evacuation_outcome::kUnknown);
    return;
  }
  const bool has_open_proposal = open_proposals_->load() > 0;
  const bool is_so =
      store_.Evacuations().Contains(order->domain) == order->evacuates;
  if (is_so && !has_open_proposal && store_.IsLeading()) {
    done(evacuation_outcome::kAcknowledged);
    return;
  }
  open_proposals_->fetch_add(1);
  store_.Propose(command, [done, open = open_proposals_](
                              const std::optional<std::string>& change) {
    open->fetch_sub(1);
    if (!change) {
      done(evacuation_outcome::kUnknown);
    } else {
      done(change->empty() ? evacuation_outcome::kFull
                           : evacuation_outcome::kAcknowledged);
    }
  });
}

void evacuation_service::OnOrderMessage(
    const std::string& command,
    const std::function<void(std::string)>& respond) {
  Accept(command, [respond](evacuation_outcome outcome) {
    respond(ResponseOf(outcome));
  });
}

}  // namespace marjoramsill
