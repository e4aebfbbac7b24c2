#include "process/entry/entry_events.h"

#include "connection/memory_shortage.h"
#include "process/entry/crash_decision.h"
#include "process/entry/decision_log.h"
#include "process/entry/document_fetch_outcome.h"
#include "process/entry/log_fields.h"

namespace marjoramsill {

void LogEndpoint(decision_log& log, const endpoint_record& changed) {
  log.Write("endpoint", log_fields()
                            .Add("endpoint", changed.id.value())
                            .Add("phase", EndpointPhaseText(changed.phase))
                            .Add("pool", changed.pool.value())
                            .Add("address", changed.address)
                            .Add("software", changed.software)
                            .Add("born", changed.incarnation.value())
                            .Add("sequence", changed.sequence)
                            .Add("cold_ms", changed.cold_ms)
                            .text());
}

void LogSuspects(decision_log& log, const endpoint_record& ended,
                 const std::vector<content_digest>& suspects) {
  for (const content_digest content : suspects) {
    log.Write("content_suspected",
              log_fields()
                  .Add("content", ContentText(content))
                  .Add("endpoint", ended.id.value())
                  .Add("born", ended.incarnation.value())
                  .Add("run", RunsText({DigestOfRun(ended)}))
                  .text(),
              line_class::kFrequent);
  }
}

void LogCrashDecision(decision_log& log, const crash_decision& decision) {
  log.Write("crash_decision",
            log_fields()
                .Add("endpoint", decision.endpoint.id.value())
                .Add("pool", decision.endpoint.pool.value())
                .Add("run", RunsText({DigestOfRun(decision.endpoint)}))
                .Add("crash", IsCrash(decision.finding) ? "yes" : "no")
                .Add("finding", CrashFindingText(decision.finding))
                .Add("contents", decision.suspects.size())
                .text(),
            line_class::kFrequent);
}

void LogContact(decision_log& log, const vm_id& vm, bool reachable) {
  log.Write("control_contact", log_fields()
                                   .Add("vm", vm.value())
                                   .Add("state", reachable ? "up" : "lost")
                                   .text());
}

void LogLinks(decision_log& log, const model_id& pool, link_state state,
              std::size_t reached, std::size_t failed) {
  log.Write("endpoint_links", log_fields()
                                  .Add("pool", pool.value())
                                  .Add("state", LinkStateText(state))
                                  .Add("reached", reached)
                                  .Add("failed", failed)
                                  .text());
}

void LogFetch(decision_log& log, const document_fetch_outcome& outcome) {
  log.Write("document_asked", log_fields()
                                  .Add("vm", outcome.vm.value())
                                  .Add("version", outcome.required.value())
                                  .Add("outcome", outcome.text)
                                  .Add("took_ms", MillisOf(outcome.took))
                                  .Add("since_ms", MillisOf(outcome.since))
                                  .text());
}

void LogUnreceived(decision_log& log, std::string_view request,
                   std::size_t unsent, std::size_t unacknowledged) {
  log.Write("response_unreceived", log_fields()
                                       .Add("request", request)
                                       .Add("unsent", unsent)
                                       .Add("unacknowledged", unacknowledged)
                                       .text());
}

void LogMemoryClose(decision_log& log, const memory_shortage& shortage) {
  log_fields fields;
  fields.Add("reason", MemoryCloseReasonText(shortage.reason));
  for (std::size_t i = 0; i < kMemoryKindCount; ++i) {
    fields.Add(MemoryKindText(static_cast<memory_kind>(i)), shortage.held[i]);
  }
  log.Write("closed_for_memory",
            fields.Add("stalled_ms", MillisOf(shortage.stalled))
                .Add("total", shortage.total)
                .Add("limit", shortage.limit)
                .text(),
            line_class::kFrequent);
}

void LogDocument(decision_log& log, document_version version,
                 std::size_t routes) {
  log.Write("document_in_force", log_fields()
                                     .Add("version", version.value())
                                     .Add("routes", routes)
                                     .text());
}

void LogUnreadableDocument(decision_log& log, document_version version,
                           std::string_view where) {
  log.Write(
      "document_unreadable",
      log_fields().Add("version", version.value()).Add("where", where).text());
}

}  // namespace marjoramsill
