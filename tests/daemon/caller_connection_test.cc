#include "connection/caller_connection.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include "connection/caller_connection_hooks.h"
#include "connection/caller_message.h"

namespace marjoramsill {

using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

class caller_connection_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(caller_connection_test);
  CPPUNIT_TEST(last_response_to_a_slow_reader_is_sent_whole);
  CPPUNIT_TEST(caller_that_reads_nothing_is_closed_at_its_idle_limit);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t kBodyBytes = 1'000'000;
  static constexpr int kBufferBytes = 8'192;

  asio::io_context io_;
  tcp::socket client_{io_};
  caller_limits limits_;
  std::shared_ptr<caller_connection> connection_;
  caller_connection_hooks hooks_;
  bool has_request_ = false;
  bool has_ended_ = false;

  static steady_time At(milliseconds time) { return steady_time(time); }

  void Poll() {
    io_.restart();
    io_.poll();
  }

  std::size_t ReadSome() {
    std::array<char, 4'096> buffer;
    std::error_code error;
    return client_.read_some(asio::buffer(buffer), error);
  }

  /// A response whose connection closes after it, and which the caller does not
  /// read yet.
  void SendLastResponse() {
    asio::write(client_,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    while (!has_request_) Poll();
    connection_->CloseAfterResponse();
    connection_->Respond(200, {}, std::string(kBodyBytes, 'x'));
    CPPUNIT_ASSERT(connection_->unsent_bytes() > 0);
  }

 public:
  void setUp() override {
    tcp::acceptor acceptor(io_, {asio::ip::make_address("127.0.0.1"), 0});
    client_.open(tcp::v4());
    client_.set_option(asio::socket_base::receive_buffer_size(kBufferBytes));
    client_.connect(acceptor.local_endpoint());
    tcp::socket accepted = acceptor.accept();
    accepted.set_option(asio::socket_base::send_buffer_size(kBufferBytes));
    client_.non_blocking(true);
    limits_.idle_timeout = seconds(15);
    hooks_.on_request = [this](const auto& /*connection*/, auto /*message*/) {
      has_request_ = true;
    };
    hooks_.on_invalid_request = [](parse_state, int) {};
    hooks_.on_end = [this](caller_connection&) { has_ended_ = true; };
    connection_ = std::make_shared<caller_connection>(
        std::move(accepted), hooks_, limits_, At(milliseconds(0)));
    connection_->Start();
  }

  void tearDown() override {
    connection_->Abort();
    Poll();
  }

  // Guards against a response that is cut because its caller reads slowly.
  void last_response_to_a_slow_reader_is_sent_whole() {
    SendLastResponse();
    std::size_t received = 0;
    milliseconds now{0};
    // 4 KB every 100 ms take 25 s.
    while (received < kBodyBytes && now < seconds(60)) {
      now += milliseconds(100);
      connection_->CheckTimeouts(limits_, At(now));
      Poll();
      received += ReadSome();
    }
    CPPUNIT_ASSERT(received >= kBodyBytes);
  }

  // Guards against a connection that is kept for good.
  void caller_that_reads_nothing_is_closed_at_its_idle_limit() {
    SendLastResponse();
    connection_->CheckTimeouts(limits_, At(seconds(15)));
    CPPUNIT_ASSERT(!has_ended_);
    connection_->CheckTimeouts(limits_, At(seconds(18)));
    CPPUNIT_ASSERT(has_ended_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_connection_test);

}  // namespace marjoramsill
