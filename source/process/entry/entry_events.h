#ifndef MARJORAMSILL_PROCESS_ENTRY_ENTRY_EVENTS_H_
#define MARJORAMSILL_PROCESS_ENTRY_ENTRY_EVENTS_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "process/directory/content_fault.h"
#include "process/directory/endpoint_record.h"
#include "process/placement/pool_reach.h"
#include "types/ids.h"

namespace marjoramsill {

class decision_log;
struct crash_decision;
struct document_fetch_outcome;
struct memory_shortage;

// Log lines of an entry process about what it learns of the fleet. Operators
// find them by the names in docs/OPERATIONS.md.

/// The record of an endpoint has changed.
void LogEndpoint(decision_log& log, const endpoint_record& changed);
/// An endpoint has ended, and this content of requests under it may be the
/// cause.
void LogSuspects(decision_log& log, const endpoint_record& ended,
                 const std::vector<content_digest>& suspects);
/// It is decided whether an endpoint that refused connections had crashed.
void LogCrashDecision(decision_log& log, const crash_decision& decision);
/// A control process was lost or regained.
void LogContact(decision_log& log, const vm_id& vm, bool reachable);
/// This VM lost its links to the endpoints of a pool, or regains them.
/// `reached`, `failed`: endpoints of the probes that decided.
void LogLinks(decision_log& log, const model_id& pool, link_state state,
              std::size_t reached, std::size_t failed);
/// A VM was asked for a routing document.
void LogFetch(decision_log& log, const document_fetch_outcome& outcome);

/// This process closes the connection of a caller that has not received the
/// whole response to `request`. `unsent`, `unacknowledged`: bytes of it.
void LogUnreceived(decision_log& log, std::string_view request,
                   std::size_t unsent, std::size_t unacknowledged);

/// A connection of a caller is closed because memory is exhausted.
void LogMemoryClose(decision_log& log, const memory_shortage& shortage);

/// Requests are decided by this routing document from now on.
void LogDocument(decision_log& log, document_version version,
                 std::size_t routes);
/// A routing document arrived that this build cannot read. `where`: the part
/// of it that is wrong.
void LogUnreadableDocument(decision_log& log, document_version version,
                           std::string_view where);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_ENTRY_EVENTS_H_
