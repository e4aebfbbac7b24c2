#ifndef MARJORAMSILL_CONNECTION_ENDPOINT_CLIENT_H_
#define MARJORAMSILL_CONNECTION_ENDPOINT_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <memory>

namespace marjoramsill {

struct endpoint_call;

/// HTTP/1.1 client for requests to endpoints: one thread that drives a libcurl
/// multi handle. All functions may be called from any thread, including from
/// the hooks.
class endpoint_client {
 public:
  using call_id = std::uint64_t;

  endpoint_client();
  ~endpoint_client();
  endpoint_client(const endpoint_client&) = delete;
  endpoint_client& operator=(const endpoint_client&) = delete;

  call_id Start(endpoint_call call);
  /// Closes the call's connection. Does not wait for a hook that is running; no
  /// hook of the call starts afterwards.
  void Cancel(call_id id);

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_ENDPOINT_CLIENT_H_
