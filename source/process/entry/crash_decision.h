#ifndef MARJORAMSILL_PROCESS_ENTRY_CRASH_DECISION_H_
#define MARJORAMSILL_PROCESS_ENTRY_CRASH_DECISION_H_

#include <vector>

#include "process/directory/content_fault.h"
#include "process/directory/endpoint_record.h"
#include "process/entry/crash_finding.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Whether an endpoint that refused connections had crashed.
struct crash_decision {
  /// As known when it refused.
  endpoint_record endpoint;
  /// Content of the requests whose connections broke.
  std::vector<content_digest> suspects;
  steady_time refused_at;
  crash_finding finding = crash_finding::kRefused;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_CRASH_DECISION_H_
