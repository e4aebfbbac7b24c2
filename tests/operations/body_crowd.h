#ifndef MARJORAMSILL_TESTS_OPERATIONS_BODY_CROWD_H_
#define MARJORAMSILL_TESTS_OPERATIONS_BODY_CROWD_H_

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "connection/socket_address.h"

namespace marjoramsill {

/// Clients that each send the same part of a request and keep their connection
/// open. Destroying the object closes the connections.
class body_crowd {
 public:
  /// What each client sends: `head`, then `block` again and again until
  /// `bytes` bytes of blocks are sent, with `pause` between blocks.
  struct part {
    std::string head;
    std::string block;
    std::size_t bytes = 0;
    std::chrono::milliseconds pause{0};
    bool reads_answers = true;
  };

  body_crowd(asio::io_context& io, const socket_address& to, int clients,
             const part& sent);
  ~body_crowd();
  body_crowd(const body_crowd&) = delete;
  body_crowd& operator=(const body_crowd&) = delete;

  /// Each client has sent its part, or its connection was closed.
  bool IsDone() const;

 private:
  class client;

  std::vector<std::shared_ptr<client>> clients_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_OPERATIONS_BODY_CROWD_H_
