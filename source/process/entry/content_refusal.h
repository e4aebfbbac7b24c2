#ifndef MARJORAMSILL_PROCESS_ENTRY_CONTENT_REFUSAL_H_
#define MARJORAMSILL_PROCESS_ENTRY_CONTENT_REFUSAL_H_

#include <cstddef>

#include "process/directory/content_fault.h"

namespace marjoramsill {

/// Why a request is not sent to an endpoint now.
struct content_refusal {
  /// What is known against the content that decided.
  content_fault fault;
  /// Ends of `fault` under which no other refused content, which the request
  /// lacks, was in use.
  std::size_t unexplained = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_CONTENT_REFUSAL_H_
