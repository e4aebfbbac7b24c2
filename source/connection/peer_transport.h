#ifndef MARJORAMSILL_CONNECTION_PEER_TRANSPORT_H_
#define MARJORAMSILL_CONNECTION_PEER_TRANSPORT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "connection/listen_error.h"
#include "connection/peer_error.h"
#include "connection/peer_transport_settings.h"
#include "connection/vm_message.h"
#include "types/result.h"

namespace marjoramsill {

/// Messages between VMs over HTTP/2, on one I/O thread. All functions may be
/// called from any thread. The message handler runs on the I/O thread and must
/// not block; it may call the function that sends the response later and from
/// any thread.
class peer_transport {
 public:
  using respond_hook = std::function<void(std::string body)>;
  using message_handler = std::function<void(vm_message, respond_hook)>;
  using response_handler = std::function<void(result<std::string, peer_error>)>;

  peer_transport(const peer_transport_settings& settings,
                 message_handler handle);
  ~peer_transport();
  peer_transport(const peer_transport&) = delete;
  peer_transport& operator=(const peer_transport&) = delete;

  result<void, listen_error> Listen();
  /// The handler runs exactly once, on the I/O thread.
  void Send(const socket_address& remote, vm_message message,
            std::chrono::milliseconds timeout, response_handler done);
  /// Runs a task on the I/O thread after a delay.
  void RunAfter(std::chrono::milliseconds delay, std::function<void()> task);
  /// Closes all connections and ends the I/O thread.
  void Stop();

  /// Bytes of HTTP/2 frames sent to other VMs since start, before TLS.
  std::uint64_t sent_bytes() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_PEER_TRANSPORT_H_
