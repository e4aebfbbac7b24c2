#ifndef MARJORAMSILL_REQUEST_CLASSIFIER_H_
#define MARJORAMSILL_REQUEST_CLASSIFIER_H_

#include <cstddef>

#include "request/classified_request.h"
#include "request/problem.h"
#include "types/result.h"

namespace marjoramsill {

struct http_request;
class policy_snapshot;

/// Limits on the requests of callers.
struct classifier_limits {
  std::size_t max_body_bytes = 4UL * 1024 * 1024;
};

/// Reads workspace, rank, pool, chat, deadline and key of a request. Every
/// failure is a problem with kNotRun, since nothing has been sent at this
/// point.
result<classified_request, problem> Classify(const http_request& request,
                                             const policy_snapshot& policy,
                                             const classifier_limits& limits);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_CLASSIFIER_H_
