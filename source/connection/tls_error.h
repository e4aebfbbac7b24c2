#ifndef MARJORAMSILL_CONNECTION_TLS_ERROR_H_
#define MARJORAMSILL_CONNECTION_TLS_ERROR_H_

#include <string>

namespace marjoramsill {

/// Failure to load a TLS file.
struct tls_error {
  std::string file;
  std::string reason;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_TLS_ERROR_H_
