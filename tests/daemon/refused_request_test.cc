#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "connection/caller_connection.h"
#include "connection/memory_budget.h"

namespace marjoramsill {

using asio::ip::tcp;
using std::chrono::milliseconds;

/// Requests that a connection of a caller refuses for their size, their time or
/// the memory of the process.
class refused_request_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(refused_request_test);
  CPPUNIT_TEST(answer_to_a_body_over_the_limit_arrives);
  CPPUNIT_TEST(refused_body_is_released_and_not_read_into_memory);
  CPPUNIT_TEST(refused_connection_ends_although_its_caller_goes_on);
  CPPUNIT_TEST(body_that_stalls_longer_than_idle_time_is_refused);
  CPPUNIT_TEST(slow_body_within_the_time_limits_is_served);
  CPPUNIT_TEST(incomplete_request_is_refused_when_memory_is_exhausted);
  CPPUNIT_TEST(complete_request_without_memory_is_not_run);
  CPPUNIT_TEST(small_request_is_served_beside_large_held_ones);
  CPPUNIT_TEST(many_short_fields_count_with_their_overhead);
  CPPUNIT_TEST(head_of_a_request_in_progress_counts);
  CPPUNIT_TEST(slow_reader_is_closed_when_memory_is_exhausted);
  CPPUNIT_TEST(sent_part_of_a_long_response_is_released);
  CPPUNIT_TEST(connection_after_its_response_holds_nothing);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t kLimit = 1'000'000;
  static constexpr std::size_t kMaxBody = 400'000;

  asio::io_context io_;
  tcp::socket client_{io_};
  caller_limits limits_;
  caller_connection_hooks hooks_;
  memory_budget budget_{kLimit, [] { return 100; }};
  std::shared_ptr<caller_connection> connection_;
  milliseconds now_{0};
  int requests_ = 0;
  int reports_ = 0;
  bool has_ended_ = false;
  bool is_cut_off_ = false;
  std::string received_;

  void Poll() {
    io_.restart();
    io_.poll();
  }

  void Read() {
    std::array<char, 16'384> buffer;
    std::error_code error;
    const std::size_t bytes = client_.read_some(asio::buffer(buffer), error);
    received_.append(buffer.data(), bytes);
    if (error == asio::error::connection_reset) is_cut_off_ = true;
  }

  void Pass(milliseconds time) {
    for (const milliseconds end = now_ + time; now_ < end;) {
      now_ += milliseconds(100);
      connection_->CheckTimeouts(limits_, steady_time(now_));
      Poll();
    }
  }

  /// Sends everything, as far as the connection takes it.
  void Send(std::string_view bytes) {
    for (int tries = 0; !bytes.empty() && tries < 1'000; ++tries) {
      std::error_code error;
      const std::size_t sent =
          client_.write_some(asio::buffer(bytes.data(), bytes.size()), error);
      bytes.remove_prefix(sent);
      Poll();
    }
    Poll();
  }

  static std::string Head(std::size_t length) {
    return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
           std::to_string(length) + "\r\n\r\n";
  }

  static std::string Chunk(std::size_t size) {
    char length[16];
    std::snprintf(length, sizeof(length), "%zx\r\n", size);
    return length + std::string(size, 'x') + "\r\n";
  }

  bool HasReceived(std::string_view text) {
    for (int i = 0; i < 100 && received_.find(text) == std::string::npos; ++i) {
      Poll();
      Read();
    }
    return received_.find(text) != std::string::npos;
  }

  /// Makes the rest of the process hold these bytes of requests in progress.
  std::unique_ptr<memory_account> Occupy(std::size_t bytes) {
    auto account =
        std::make_unique<memory_account>(&budget_, steady_time(), [] {});
    account->Set(memory_kind::kHeldRequests, bytes);
    return account;
  }

 public:
  void setUp() override {
    limits_.max_body_bytes = kMaxBody;
    hooks_.memory = &budget_;
    hooks_.on_request = [this](const auto& /*connection*/, auto /*message*/) {
      ++requests_;
    };
    hooks_.on_invalid_request = [](parse_state, int) {};
    hooks_.on_end = [this](caller_connection&) { has_ended_ = true; };
    budget_.OnShortage([this](const memory_shortage&) { ++reports_; });
    Connect();
  }

  void tearDown() override {
    connection_->Abort();
    Poll();
  }

  /// Replaces the connection, if there is one.
  void Connect() {
    if (connection_) connection_->Abort();
    client_ = tcp::socket(io_);
    tcp::acceptor acceptor(io_, {asio::ip::make_address("127.0.0.1"), 0});
    client_.open(tcp::v4());
    client_.set_option(asio::socket_base::receive_buffer_size(8'192));
    client_.connect(acceptor.local_endpoint());
    tcp::socket accepted = acceptor.accept();
    accepted.set_option(asio::socket_base::send_buffer_size(8'192));
    client_.non_blocking(true);
    connection_ = std::make_shared<caller_connection>(
        std::move(accepted), hooks_, limits_, steady_time());
    connection_->Start();
  }

  // Guards against a reset that destroys the answer, because the connection is
  // closed while its caller still sends.
  void answer_to_a_body_over_the_limit_arrives() {
    Send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < 20; ++i) Send(Chunk(50'000));
    CPPUNIT_ASSERT(HasReceived("HTTP/1.1 413 "));
    CPPUNIT_ASSERT(HasReceived("Connection: close"));
    CPPUNIT_ASSERT(!is_cut_off_);
    CPPUNIT_ASSERT_EQUAL(0, requests_);
  }

  void refused_body_is_released_and_not_read_into_memory() {
    Send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    Send(Chunk(350'000));
    CPPUNIT_ASSERT(budget_.total() >= 350'000);
    Send(Chunk(350'000));
    Send(Chunk(350'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget_.total());
  }

  // Guards against a connection that reads without end after its refusal.
  void refused_connection_ends_although_its_caller_goes_on() {
    Send(Head(2'000'000'000));
    CPPUNIT_ASSERT(HasReceived("HTTP/1.1 413 "));
    for (int i = 0; i < 20 && !has_ended_; ++i) {
      Send(std::string(10'000, 'x'));
      Pass(milliseconds(100));
    }
    CPPUNIT_ASSERT(has_ended_);
  }

  void body_that_stalls_longer_than_idle_time_is_refused() {
    Send(Head(100'000) + std::string(99'991, 'x'));
    Pass(limits_.idle_timeout);
    CPPUNIT_ASSERT(!HasReceived("HTTP/1.1"));
    Pass(milliseconds(3'000));
    CPPUNIT_ASSERT(HasReceived("HTTP/1.1 408 "));
    CPPUNIT_ASSERT_EQUAL(0, requests_);
  }

  // Guards against a time limit for the whole body.
  void slow_body_within_the_time_limits_is_served() {
    Send(Head(10));
    for (int i = 0; i < 10; ++i) {
      Pass(limits_.idle_timeout - milliseconds(1'000));
      Send("x");
    }
    CPPUNIT_ASSERT_EQUAL(1, requests_);
  }

  void incomplete_request_is_refused_when_memory_is_exhausted() {
    const auto others = Occupy(800'000);
    Send(Head(300'000) + std::string(299'991, 'x'));
    CPPUNIT_ASSERT(HasReceived("HTTP/1.1 503 "));
    CPPUNIT_ASSERT(HasReceived("Retry-After: 0.600"));
    CPPUNIT_ASSERT(HasReceived("Connection: close"));
    CPPUNIT_ASSERT_EQUAL(1, reports_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{800'000}, budget_.total());
  }

  // A request in progress counts twice. Guards against one that is handled and
  // exceeds the memory afterwards, and against an answer that is not true.
  void complete_request_without_memory_is_not_run() {
    const auto others = Occupy(800'000);
    Send(Head(150'000) + std::string(150'000, 'x'));
    CPPUNIT_ASSERT(HasReceived("HTTP/1.1 503 "));
    CPPUNIT_ASSERT_EQUAL(0, requests_);
    CPPUNIT_ASSERT_EQUAL(1, reports_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{800'000}, budget_.total());
  }

  // Guards against large requests that use the whole limit, so that ordinary
  // ones are refused. 890,000 bytes are more than 7/8 of the limit.
  void small_request_is_served_beside_large_held_ones() {
    const auto others = Occupy(700'000);
    Send(Head(95'000) + std::string(95'000, 'x'));
    CPPUNIT_ASSERT(HasReceived("HTTP/1.1 503 "));
    CPPUNIT_ASSERT_EQUAL(0, requests_);
    const auto further = Occupy(170'000);
    Connect();
    Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(1, requests_);
  }

  // A field with a name of one byte takes two strings.
  void many_short_fields_count_with_their_overhead() {
    std::string head = "GET / HTTP/1.1\r\nHost: a\r\n";
    for (int i = 0; i < 2'000; ++i) head += "a:\r\n";
    Send(head);
    CPPUNIT_ASSERT(budget_.total() >= 2'000 * sizeof(http_field));
  }

  // Guards against long heads of requests in progress that exceed the memory
  // uncounted.
  void head_of_a_request_in_progress_counts() {
    Send("GET / HTTP/1.1\r\nHost: a\r\nLong: " + std::string(10'000, 'x') +
         "\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(1, requests_);
    CPPUNIT_ASSERT(budget_.held(memory_kind::kHeldRequests) >= 20'000);
  }

  void slow_reader_is_closed_when_memory_is_exhausted() {
    Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    connection_->Begin(200, {}, std::nullopt);
    connection_->Write(std::string(600'000, 'x'));
    connection_->Flush();
    CPPUNIT_ASSERT(budget_.held(memory_kind::kUnsentResponses) >= 500'000);
    Pass(milliseconds(3'000));
    CPPUNIT_ASSERT(!has_ended_);
    const auto others = Occupy(600'000);
    budget_.Relieve(steady_time(now_));
    CPPUNIT_ASSERT(has_ended_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{600'000}, budget_.total());
  }

  // Guards against a stream to a slow reader that keeps all of its bytes,
  // because its buffer is never quite empty.
  void sent_part_of_a_long_response_is_released() {
    Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    connection_->Begin(200, {}, std::nullopt);
    std::size_t most = 0;
    for (int i = 0; i < 1'000; ++i) {
      if (connection_->unsent_bytes() < 100'000) {
        connection_->Write(std::string(20'000, 'x'));
        connection_->Flush();
      }
      Read();
      Poll();
      most = std::max(most, budget_.held(memory_kind::kUnsentResponses));
    }
    CPPUNIT_ASSERT(received_.size() > 1'000'000);
    CPPUNIT_ASSERT(most < 300'000);
  }

  void connection_after_its_response_holds_nothing() {
    Send(Head(100'000) + std::string(100'000, 'x'));
    CPPUNIT_ASSERT_EQUAL(1, requests_);
    CPPUNIT_ASSERT(budget_.held(memory_kind::kHeldRequests) >= 200'000);
    connection_->memory().Set(memory_kind::kEndpointResponses, 500);
    connection_->Respond(200, {}, "done");
    CPPUNIT_ASSERT(HasReceived("done"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget_.total());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(refused_request_test);

}  // namespace marjoramsill
