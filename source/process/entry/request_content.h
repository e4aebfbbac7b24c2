#ifndef MARJORAMSILL_PROCESS_ENTRY_REQUEST_CONTENT_H_
#define MARJORAMSILL_PROCESS_ENTRY_REQUEST_CONTENT_H_

#include <vector>

#include "process/directory/content_fault.h"

namespace marjoramsill {

/// What a request carries that may crash the endpoints which run it.
struct request_content {
  /// Parts of its prompt that other requests share: all but the last one.
  std::vector<content_digest> parts;
  /// What is asked, and by whom; see DigestOfRequest().
  content_digest request;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_REQUEST_CONTENT_H_
