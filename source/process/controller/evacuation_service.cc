#include "process/controller/evacuation_service.h"

#include <chrono>
#include <optional>
#include <utility>

#include "process/controller/document_store.h"
#include "process/daemon/event_log.h"
#include "process/daemon/peer_kinds.h"
#include "process/daemon/steady_clock.h"
#include "process/directory/control_watcher.h"
#include "process/directory/evacuation_set.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;
using response_kind = evacuation_response::kind;

/// Shorter than the second after which operators try another control process.
constexpr milliseconds kLeaderTimeout{900};

evacuation_outcome OutcomeOf(const evacuation_response& response) {
  switch (response.outcome) {
    case response_kind::kAcknowledged:
      return evacuation_outcome::kAcknowledged;
    case response_kind::kFull:
      return evacuation_outcome::kFull;
    case response_kind::kUnknown:
    case response_kind::kBehind:
      break;
  }
  return evacuation_outcome::kUnknown;
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
  const bool is_known_method = order.evacuates || method == "DELETE";
  if (!is_known_method || !IsValidEvacuationDomain(domain)) {
    LogOrder(order, evacuation_outcome::kInvalid);
    done(evacuation_outcome::kInvalid);
    return;
  }
  const forwarded_evacuation forwarded{order, store_.Evacuations().change};
  Forward(forwarded, SteadyNow() + kLeaderTimeout,
          [order, done](const evacuation_response& response) {
            const evacuation_outcome outcome = OutcomeOf(response);
            LogOrder(order, outcome);
            done(outcome);
          });
}

void evacuation_service::Forward(const forwarded_evacuation& forwarded,
                                 steady_time deadline,
                                 const response_hook& done) {
  const auto leader = store_.leader();
  if (store_.IsLeading() || !leader) {
    Accept(forwarded, done);
    return;
  }
  const auto left =
      std::chrono::duration_cast<milliseconds>(deadline - SteadyNow());
  if (left <= milliseconds(0)) {
    done({});
    return;
  }
  members_.Request(
      *leader, std::string(kEvacuationOrderKind),
      EncodeForwardedEvacuation(forwarded), left,
      [this, forwarded, deadline,
       done](const std::optional<std::string>& bytes) {
        const auto response = DecodeEvacuationResponse(bytes.value_or(""));
        const bool is_behind = response.outcome == response_kind::kBehind &&
                               response.change > forwarded.known_change;
        if (!is_behind) {
          done(response);
          return;
        }
        Forward({forwarded.order, response.change}, deadline, done);
      });
}

/// The lease is checked after the state is read, so that the state is the
/// newest that was acknowledged before the check.
void evacuation_service::Accept(const forwarded_evacuation& forwarded,
                                const response_hook& done) {
  const bool has_open_order = open_orders_->load() > 0;
  const evacuation_set held = store_.Evacuations();
  if (!store_.IsLeading()) {
    done({});
    return;
  }
  switch (NextEvacuationStep(held, forwarded, has_open_order)) {
    case evacuation_step::kAcknowledge:
      done({response_kind::kAcknowledged, held.change});
      return;
    case evacuation_step::kReturn:
      done({response_kind::kBehind, held.change});
      return;
    case evacuation_step::kPropose:
      break;
  }
  open_orders_->fetch_add(1);
  store_.Propose(
      EncodeEvacuationOrder(forwarded.order),
      [done, open = open_orders_,
       held](const std::optional<std::string>& change) {
        open->fetch_sub(1);
        if (!change) {
          done({});
          return;
        }
        const bool is_full = change->empty();
        done({is_full ? response_kind::kFull : response_kind::kAcknowledged,
              held.change});
      });
}

void evacuation_service::OnOrderMessage(
    const std::string& body, const std::function<void(std::string)>& respond) {
  const auto forwarded = DecodeForwardedEvacuation(body);
  if (!forwarded) {
    respond("");
    return;
  }
  Accept(*forwarded, [respond](const evacuation_response& response) {
    respond(EncodeEvacuationResponse(response));
  });
}

}  // namespace marjoramsill
