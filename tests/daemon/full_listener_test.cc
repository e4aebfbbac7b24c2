#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "connection/caller_connection.h"
#include "connection/caller_listener.h"

namespace marjoramsill {

using asio::ip::tcp;
using std::chrono::milliseconds;

/// A listener whose connections are all taken.
class full_listener_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(full_listener_test);
  CPPUNIT_TEST(connection_beyond_the_limit_is_closed);
  CPPUNIT_TEST(stalled_request_makes_room_for_a_new_connection);
  CPPUNIT_TEST(slow_sender_and_request_in_progress_keep_their_places);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 17'450;
  static constexpr std::size_t kMaxConnections = 2;
  static constexpr const char* kBegun =
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nbegun";

  asio::io_context io_;
  milliseconds now_{0};
  int requests_ = 0;
  std::optional<caller_listener> listener_;
  std::vector<tcp::socket> clients_;

  void Poll() {
    for (int i = 0; i < 20; ++i) {
      io_.restart();
      io_.run_for(milliseconds(1));
    }
  }

  void Pass(milliseconds time) {
    now_ += time;
    listener_->Tick(steady_time(now_));
    Poll();
  }

  std::size_t Connect(const std::string& bytes) {
    clients_.emplace_back(io_);
    clients_.back().connect({asio::ip::make_address("127.0.0.1"), kPort});
    clients_.back().non_blocking(true);
    Send(clients_.size() - 1, bytes);
    return clients_.size() - 1;
  }

  void Send(std::size_t client, const std::string& bytes) {
    std::error_code ignored;
    asio::write(clients_[client], asio::buffer(bytes), ignored);
    Poll();
  }

  bool IsOpen(std::size_t client) {
    std::array<char, 100> buffer;
    std::error_code error;
    clients_[client].read_some(asio::buffer(buffer), error);
    return error == asio::error::would_block;
  }

 public:
  void setUp() override {
    listener_.emplace(
        io_, caller_listener::settings{{"127.0.0.1", kPort}, kMaxConnections},
        [this](const auto& /*connection*/, auto /*message*/) { ++requests_; },
        [](parse_state, int) {}, [this] { return steady_time(now_); });
    CPPUNIT_ASSERT(listener_->Listen());
  }

  void tearDown() override {
    clients_.clear();
    listener_.reset();
    Poll();
  }

  void connection_beyond_the_limit_is_closed() {
    const std::size_t first = Connect(kBegun);
    const std::size_t second = Connect("");
    const std::size_t third = Connect("");
    CPPUNIT_ASSERT(IsOpen(first) && IsOpen(second) && !IsOpen(third));
  }

  // Guards against stalled requests that take all connections, so that no
  // ordinary caller is served.
  void stalled_request_makes_room_for_a_new_connection() {
    const std::size_t first = Connect(kBegun);
    Pass(milliseconds(1'000));
    const std::size_t second = Connect(kBegun);
    Pass(milliseconds(1'500));
    const std::size_t third = Connect("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    CPPUNIT_ASSERT(!IsOpen(first) && IsOpen(second) && IsOpen(third));
    CPPUNIT_ASSERT_EQUAL(1, requests_);
  }

  void slow_sender_and_request_in_progress_keep_their_places() {
    const std::size_t slow = Connect(kBegun);
    const std::size_t served = Connect("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    for (int i = 0; i < 5; ++i) {
      Pass(milliseconds(1'000));
      Send(slow, "x");
    }
    const std::size_t third = Connect("");
    CPPUNIT_ASSERT(IsOpen(slow) && IsOpen(served) && !IsOpen(third));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(full_listener_test);

}  // namespace marjoramsill
