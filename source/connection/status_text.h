#ifndef MARJORAMSILL_CONNECTION_STATUS_TEXT_H_
#define MARJORAMSILL_CONNECTION_STATUS_TEXT_H_

namespace marjoramsill {

/// Reason phrase of an HTTP status (RFC 9110 section 15).
const char* StatusText(int status);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_STATUS_TEXT_H_
