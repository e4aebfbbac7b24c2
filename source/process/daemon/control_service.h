#ifndef MARJORAMSILL_PROCESS_DAEMON_CONTROL_SERVICE_H_
#define MARJORAMSILL_PROCESS_DAEMON_CONTROL_SERVICE_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "request/http_request.h"

namespace marjoramsill {

class http_responder;

/// Dispatches the requests on the control address by method and path.
class control_service {
 public:
  using handler = std::function<void(const http_request&,
                                     const std::shared_ptr<http_responder>&)>;

  /// Registers a handler; call before the server listens.
  void Add(const std::string& method, const std::string& path, handler handle) {
    handlers_[method + " " + path] = std::move(handle);
  }

  void Handle(const http_request& request,
              const std::shared_ptr<http_responder>& responder) const;

 private:
  std::map<std::string, handler> handlers_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_CONTROL_SERVICE_H_
