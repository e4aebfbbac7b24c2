#ifndef MARJORAMSILL_CONNECTION_LISTEN_ERROR_H_
#define MARJORAMSILL_CONNECTION_LISTEN_ERROR_H_

#include <string>

#include "connection/socket_address.h"

namespace marjoramsill {

/// Failure to listen on an address.
struct listen_error {
  socket_address address;
  std::string reason;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_LISTEN_ERROR_H_
