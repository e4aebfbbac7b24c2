#ifndef MARJORAMSILL_PROCESS_ENTRY_CONTENT_REFUSAL_H_
#define MARJORAMSILL_PROCESS_ENTRY_CONTENT_REFUSAL_H_

#include <cstddef>
#include <vector>

#include "process/directory/content_fault.h"
#include "process/directory/content_trial.h"

namespace marjoramsill {

/// Why a request is not sent to an endpoint now.
struct content_refusal {
  /// What is known against the content that decided.
  content_fault fault;
  /// Ends of `fault` that did not also end under other suspected content, which
  /// the request lacks.
  std::size_t unexplained = 0;
  /// The refused contents of the request, if other content may be at fault for
  /// all of them: the request may be sent once leases on these are granted.
  std::vector<content_trial> trials;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_CONTENT_REFUSAL_H_
