#include "connection/caller_connection.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

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
  CPPUNIT_TEST(kept_connection_of_a_slow_reader_is_not_idle);
  CPPUNIT_TEST(kept_connection_with_a_large_send_buffer_is_not_idle);
  CPPUNIT_TEST(response_left_at_the_end_of_the_process_goes_to_the_kernel);
  CPPUNIT_TEST(caller_dropped_for_unsent_bytes_is_reported);
  CPPUNIT_TEST(close_for_unsent_bytes_has_its_own_cause);
  CPPUNIT_TEST(close_by_the_caller_has_its_own_cause);
  CPPUNIT_TEST(connection_with_an_unacknowledged_response_is_busy);
  CPPUNIT_TEST(last_response_in_the_send_buffer_is_awaited);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t kBodyBytes = 1'000'000;
  static constexpr int kBufferBytes = 8'192;
  /// Fits the larger send buffer, and exceeds the caller's receive buffer.
  static constexpr std::size_t kBufferedBytes = 100'000;
  static constexpr int kLargeBufferBytes = 200'000;
  static constexpr int kMediumBufferBytes = 60'000;

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

  void SendRequest() {
    asio::write(client_,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    while (!has_request_) Poll();
  }

  /// A response whose connection closes after it, and which the caller does not
  /// read yet.
  void SendLastResponse() {
    SendRequest();
    connection_->CloseAfterResponse();
    connection_->Respond(200, {}, std::string(kBodyBytes, 'x'));
    CPPUNIT_ASSERT(connection_->unsent_bytes() > 0);
  }

  /// The send buffer takes the whole response, which the caller does not read
  /// yet.
  void SendBufferedResponse() {
    SendRequest();
    connection_->Respond(200, {}, std::string(kBufferedBytes, 'x'));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, connection_->unsent_bytes());
  }

  /// The caller reads 4 KB every 100 ms until it has `bytes`, for a minute at
  /// most. Returns the bytes that it got.
  std::size_t ReadSlowly(std::size_t bytes, milliseconds& now) {
    const milliseconds end = now + seconds(60);
    std::size_t received = 0;
    while (received < bytes && now < end) {
      now += milliseconds(100);
      connection_->CheckTimeouts(limits_, At(now));
      Poll();
      received += ReadSome();
    }
    return received;
  }

  /// Acknowledgements are delayed by some milliseconds of real time.
  static bool Becomes(const std::function<bool()>& condition) {
    for (int i = 0; i < 200; ++i) {
      if (condition()) return true;
      std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
  }

  void Connect(int send_buffer) {
    tcp::acceptor acceptor(io_, {asio::ip::make_address("127.0.0.1"), 0});
    client_.open(tcp::v4());
    client_.set_option(asio::socket_base::receive_buffer_size(kBufferBytes));
    client_.connect(acceptor.local_endpoint());
    tcp::socket accepted = acceptor.accept();
    accepted.set_option(asio::socket_base::send_buffer_size(send_buffer));
    client_.non_blocking(true);
    connection_ = std::make_shared<caller_connection>(
        std::move(accepted), hooks_, limits_, At(milliseconds(0)));
    connection_->Start();
  }

 public:
  void setUp() override {
    limits_.idle_timeout = seconds(15);
    hooks_.on_request = [this](const auto& /*connection*/, auto /*message*/) {
      has_request_ = true;
    };
    hooks_.on_invalid_request = [](parse_state, int) {};
    hooks_.on_end = [this](caller_connection&) { has_ended_ = true; };
  }

  void tearDown() override {
    connection_->Abort();
    Poll();
  }

  // Guards against a response that is cut because its caller reads slowly.
  void last_response_to_a_slow_reader_is_sent_whole() {
    Connect(kBufferBytes);
    SendLastResponse();
    milliseconds now{0};
    CPPUNIT_ASSERT(ReadSlowly(kBodyBytes, now) >= kBodyBytes);
  }

  // Guards against a response that is cut because the time in which it is sent
  // counts as idle time of a connection that is kept.
  void kept_connection_of_a_slow_reader_is_not_idle() {
    Connect(kBufferBytes);
    SendRequest();
    connection_->Respond(200, {}, std::string(kBodyBytes, 'x'));
    milliseconds now{0};
    CPPUNIT_ASSERT(ReadSlowly(kBodyBytes, now) >= kBodyBytes);
  }

  // Guards against the same where the buffer takes nothing more for long, since
  // much of it must be free before the connection can write again.
  void kept_connection_with_a_large_send_buffer_is_not_idle() {
    Connect(kLargeBufferBytes);
    SendRequest();
    connection_->Respond(200, {}, std::string(kBodyBytes, 'x'));
    CPPUNIT_ASSERT(connection_->unsent_bytes() > 0);
    for (milliseconds now{0}; now < seconds(40); now += milliseconds(200)) {
      connection_->CheckTimeouts(limits_, At(now));
      Poll();
      if (now % seconds(1) == milliseconds(0)) ReadSome();
      std::this_thread::sleep_for(milliseconds(1));
    }
    CPPUNIT_ASSERT(!has_ended_);
  }

  // Guards against an end of the process with bytes that the send buffer could
  // have taken.
  void response_left_at_the_end_of_the_process_goes_to_the_kernel() {
    Connect(kMediumBufferBytes);
    SendRequest();
    connection_->CloseAfterResponse();
    connection_->Begin(200, {}, std::nullopt);
    connection_->Flush();
    std::size_t written = 0;
    while (connection_->unsent_bytes() == 0) {
      connection_->Write(std::string(kBufferBytes, 'x'));
      connection_->Flush();
      written += kBufferBytes;
    }
    connection_->End();
    CPPUNIT_ASSERT(connection_->unsent_bytes() > 0);
    connection_->CloseAtEnd();
    milliseconds now{0};
    CPPUNIT_ASSERT(ReadSlowly(written, now) >= written);
  }

  // Guards against a response that is cut without a trace because its caller
  // took too little of it.
  void caller_dropped_for_unsent_bytes_is_reported() {
    constexpr std::size_t kTooMuch = std::size_t{5} * 1024 * 1024;
    std::size_t reported = 0;
    hooks_.on_unreceived = [&reported](std::string_view, std::size_t unsent,
                                       std::size_t) { reported = unsent; };
    Connect(kBufferBytes);
    SendRequest();
    connection_->Begin(200, {}, std::nullopt);
    connection_->Write(std::string(kBodyBytes, 'x'));
    connection_->Flush();
    connection_->Write(std::string(kTooMuch, 'x'));
    connection_->End();
    CPPUNIT_ASSERT(has_ended_);
    CPPUNIT_ASSERT(reported > kTooMuch);
  }

  void close_for_unsent_bytes_has_its_own_cause() {
    constexpr std::size_t kTooMuch = std::size_t{5} * 1024 * 1024;
    std::size_t reported = 0;
    std::optional<disconnect_cause> cause;
    hooks_.on_unreceived = [&reported](std::string_view, std::size_t unsent,
                                       std::size_t) { reported = unsent; };
    Connect(kBufferBytes);
    SendRequest();
    connection_->OnCallerDisconnected(
        [&cause](disconnect_cause reason) { cause = reason; });
    connection_->Begin(200, {}, std::nullopt);
    connection_->Write(std::string(kBodyBytes, 'x'));
    connection_->Flush();
    connection_->Write(std::string(kTooMuch, 'x'));
    connection_->Flush();
    CPPUNIT_ASSERT(has_ended_);
    CPPUNIT_ASSERT(cause == disconnect_cause::kTooMuchUnsent);
    CPPUNIT_ASSERT(reported > kTooMuch);
  }

  // Guards against a request that is cut off by this process and logged as left
  // by its caller.
  void close_by_the_caller_has_its_own_cause() {
    std::optional<disconnect_cause> cause;
    Connect(kBufferBytes);
    SendRequest();
    connection_->OnCallerDisconnected(
        [&cause](disconnect_cause reason) { cause = reason; });
    client_.close();
    while (!has_ended_) Poll();
    CPPUNIT_ASSERT(cause == disconnect_cause::kClosed);
  }

  // Guards against an end of the process, and of its VM, while the send buffer
  // still holds a part of a response.
  void connection_with_an_unacknowledged_response_is_busy() {
    Connect(kLargeBufferBytes);
    SendBufferedResponse();
    const steady_time later = At(seconds(5));
    CPPUNIT_ASSERT(connection_->IsBusy(later));
    milliseconds now = seconds(5);
    CPPUNIT_ASSERT(ReadSlowly(kBufferedBytes, now) >= kBufferedBytes);
    CPPUNIT_ASSERT(
        Becomes([this, later] { return !connection_->IsBusy(later); }));
  }

  // Guards against a connection that is closed, as finished, while the send
  // buffer still holds a part of the response.
  void last_response_in_the_send_buffer_is_awaited() {
    Connect(kLargeBufferBytes);
    connection_->CloseAfterResponse();
    SendBufferedResponse();
    connection_->CheckTimeouts(limits_, At(seconds(5)));
    CPPUNIT_ASSERT(!has_ended_);
    milliseconds now = seconds(5);
    CPPUNIT_ASSERT(ReadSlowly(kBufferedBytes, now) >= kBufferedBytes);
    CPPUNIT_ASSERT(Becomes([this, &now] {
      now += seconds(2);
      connection_->CheckTimeouts(limits_, At(now));
      return has_ended_;
    }));
  }

  // Guards against a connection that is kept for good.
  void caller_that_reads_nothing_is_closed_at_its_idle_limit() {
    Connect(kBufferBytes);
    SendLastResponse();
    connection_->CheckTimeouts(limits_, At(seconds(15)));
    CPPUNIT_ASSERT(!has_ended_);
    connection_->CheckTimeouts(limits_, At(seconds(18)));
    CPPUNIT_ASSERT(has_ended_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_connection_test);

}  // namespace marjoramsill
