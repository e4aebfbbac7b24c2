#ifndef MARJORAMSILL_REQUEST_REQUEST_DIGEST_H_
#define MARJORAMSILL_REQUEST_REQUEST_DIGEST_H_

#include <string_view>

#include "process/directory/content_fault.h"

namespace marjoramsill {

struct caller_message;

/// Hash of what a request asks for and who asks: method, host, target, body and
/// workspace. A request that a caller sends again has the same, under another
/// id and at any VM.
content_digest DigestOfRequest(const caller_message& message,
                               std::string_view workspace);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_REQUEST_DIGEST_H_
