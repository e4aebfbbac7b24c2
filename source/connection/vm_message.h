#ifndef MARJORAMSILL_CONNECTION_VM_MESSAGE_H_
#define MARJORAMSILL_CONNECTION_VM_MESSAGE_H_

#include <string>

namespace marjoramsill {

/// A message from another VM. The body is encoded with msgpack.
struct vm_message {
  /// What follows "/peer/" in the request path, for example "heartbeat".
  std::string kind;
  std::string body;
  /// VM that sent the message; set by the transport.
  std::string from;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_VM_MESSAGE_H_
