#ifndef MARJORAMSILL_TESTS_DAEMON_TEST_SERVER_H_
#define MARJORAMSILL_TESTS_DAEMON_TEST_SERVER_H_

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <thread>
#include <utility>
#include <vector>

#include "connection/http_server.h"

namespace marjoramsill {

/// An http_server that listens on loopback and has two I/O threads.
class test_server {
 public:
  test_server(const http_server_settings& settings, http_server::handler handle)
      : work_(asio::make_work_guard(io_)),
        server_(io_, settings, std::move(handle)) {
    for (int i = 0; i < 2; ++i) threads_.emplace_back([this] { io_.run(); });
    listens_ = server_.Listen().has_value();
  }

  ~test_server() {
    io_.stop();
    for (std::thread& thread : threads_) thread.join();
  }
  test_server(const test_server&) = delete;
  test_server& operator=(const test_server&) = delete;

  bool listens() const { return listens_; }
  http_server& server() { return server_; }

 private:
  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  http_server server_;
  std::vector<std::thread> threads_;
  bool listens_ = false;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_DAEMON_TEST_SERVER_H_
