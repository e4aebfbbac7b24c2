#ifndef MARJORAMSILL_PROCESS_ENTRY_DOCUMENT_FETCH_OUTCOME_H_
#define MARJORAMSILL_PROCESS_ENTRY_DOCUMENT_FETCH_OUTCOME_H_

#include <chrono>

#include "types/ids.h"

namespace marjoramsill {

/// The end of one request for a routing document.
struct document_fetch_outcome {
  /// VM that was asked.
  vm_id vm;
  document_version required;
  /// "document", "source" (another VM was named), "nothing" (an empty response)
  /// or "no_answer" (no response).
  const char* text = "";
  /// Time of this request.
  std::chrono::microseconds took{0};
  /// Time since the version was announced to this VM.
  std::chrono::microseconds since{0};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_DOCUMENT_FETCH_OUTCOME_H_
