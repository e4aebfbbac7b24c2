#ifndef MARJORAMSILL_REQUEST_STATUS_CLASS_H_
#define MARJORAMSILL_REQUEST_STATUS_CLASS_H_

namespace marjoramsill {

/// A 2xx status (RFC 9110 section 15.3).
inline bool IsSuccessStatus(int status) {
  return status >= 200 && status < 300;
}

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_STATUS_CLASS_H_
