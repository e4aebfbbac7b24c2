#include "connection/http_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "connection/http_responder.h"
#include "raw_connection.h"
#include "test_server.h"

namespace marjoramsill {
namespace {

using namespace std::chrono_literals;
using responder_ptr = std::shared_ptr<http_responder>;

constexpr std::uint16_t kPort = 7601;
constexpr std::size_t kMaxBodyBytes = 1'000;

http_server_settings Settings() {
  http_server_settings settings;
  settings.listen = {"127.0.0.1", kPort};
  settings.read_timeout = 300ms;
  settings.max_body_bytes = kMaxBodyBytes;
  return settings;
}

std::string Get(const std::string& path) {
  return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

/// Waits up to 5 s until the server has `count` requests without a response.
bool HasOpenRequests(const http_server& server, std::size_t count) {
  const auto until = std::chrono::steady_clock::now() + 5s;
  while (server.open_requests() != count) {
    if (std::chrono::steady_clock::now() > until) return false;
    std::this_thread::sleep_for(5ms);
  }
  return true;
}

}  // namespace

class http_server_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(http_server_test);
  CPPUNIT_TEST(caller_disconnect_is_reported_once);
  CPPUNIT_TEST(request_beyond_bounds_closes_the_connection);
  CPPUNIT_TEST(request_with_ambiguous_length_is_refused);
  CPPUNIT_TEST(bytes_that_are_no_request_are_reported);
  CPPUNIT_TEST(request_sent_slowly_is_closed_by_the_read_timeout);
  CPPUNIT_TEST(requests_pipelined_get_responses_in_order);
  CPPUNIT_TEST(caller_half_closed_gets_complete_response_or_none);
  CPPUNIT_TEST(responder_dropped_without_response_is_not_counted);
  CPPUNIT_TEST_SUITE_END();

  /// Requests that reached the handler.
  std::atomic<int> handled_{0};

  http_server::handler RespondingHandler() {
    return [this](const http_request& request, const responder_ptr& responder) {
      ++handled_;
      responder->Respond(200, {}, "path " + request.path);
    };
  }

  void ExpectClosedUnhandled(const std::string& name, const std::string& text) {
    raw_connection caller(raw_connection::ConnectedSocket(kPort));
    caller.Send(text);
    const auto response = caller.Read();
    CPPUNIT_ASSERT_MESSAGE(name + ": stays open", response.closed);
    CPPUNIT_ASSERT_MESSAGE(name + ": " + response.bytes,
                           !response.bytes.starts_with("HTTP/1.1 2"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 0, handled_.load());
  }

 public:
  void setUp() override { handled_ = 0; }

  // Guards against connections that are closed without a report of the reason.
  void bytes_that_are_no_request_are_reported() {
    std::promise<std::string> reported;
    http_server_settings settings = Settings();
    settings.on_invalid_request = [&reported](std::string_view reason) {
      reported.set_value(std::string(reason));
    };
    test_server server(settings, RespondingHandler());
    CPPUNIT_ASSERT(server.listens());
    ExpectClosedUnhandled("garbage", "\x01\x02 no request\r\n\r\n");
    auto reason = reported.get_future();
    CPPUNIT_ASSERT(reason.wait_for(5s) == std::future_status::ready);
    CPPUNIT_ASSERT(reason.get().find("parser") != std::string::npos);
  }

  // Guards against an engine that continues to work for a caller that has
  // disconnected.
  void caller_disconnect_is_reported_once() {
    std::atomic<int> disconnects{0};
    std::promise<responder_ptr> received;
    test_server server(
        Settings(), [&](const http_request&, const responder_ptr& responder) {
          responder->OnDisconnect([&disconnects] { ++disconnects; });
          responder->Begin(200, {});
          responder->Write("first");
          received.set_value(responder);
        });
    CPPUNIT_ASSERT(server.listens());
    raw_connection caller(raw_connection::ConnectedSocket(kPort));
    caller.Send(Get("/"));
    CPPUNIT_ASSERT(!caller.Read("first").closed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.server().open_requests());
    CPPUNIT_ASSERT_EQUAL(0, disconnects.load());
    caller.Close();
    CPPUNIT_ASSERT(HasOpenRequests(server.server(), 0));
    const responder_ptr responder = received.get_future().get();
    responder->Write("late");
    responder->End();
    std::this_thread::sleep_for(50ms);
    CPPUNIT_ASSERT_EQUAL(1, disconnects.load());
  }

  // Guards against unlimited memory use by one request.
  void request_beyond_bounds_closes_the_connection() {
    test_server server(Settings(), RespondingHandler());
    CPPUNIT_ASSERT(server.listens());
    const std::string start = "POST / HTTP/1.1\r\nHost: a\r\n";
    std::string many = start;
    for (int i = 0; i < 150; ++i) many += "X-" + std::to_string(i) + ": v\r\n";
    ExpectClosedUnhandled("many fields", many + "\r\n");
    ExpectClosedUnhandled(
        "long value", start + "X-A: " + std::string(9'000, 'v') + "\r\n\r\n");
    ExpectClosedUnhandled("long name",
                          start + std::string(300, 'n') + ": v\r\n\r\n");
    ExpectClosedUnhandled("long target", Get("/" + std::string(9'000, 'p')));
    const std::string body(kMaxBodyBytes + 1, 'b');
    ExpectClosedUnhandled("body by length",
                          start + "Content-Length: 1001\r\n" + "\r\n" + body);
    ExpectClosedUnhandled("body by chunks",
                          start + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" +
                              body + "\r\n0\r\n\r\n");
  }

  // Guards against request smuggling: two processes that derive different
  // lengths see different requests on one connection.
  void request_with_ambiguous_length_is_refused() {
    test_server server(Settings(), RespondingHandler());
    CPPUNIT_ASSERT(server.listens());
    const std::string start = "POST / HTTP/1.1\r\nHost: a\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string chunks = "\r\n1\r\nx\r\n0\r\n\r\n";
    ExpectClosedUnhandled("length, then encoding",
                          start + "Content-Length: 3\r\n" + chunked + chunks);
    ExpectClosedUnhandled("encoding, then length",
                          start + chunked + "Content-Length: 3\r\n" + chunks);
    ExpectClosedUnhandled(
        "two lengths",
        start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxy");
    ExpectClosedUnhandled(
        "equal lengths",
        start + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx");
    ExpectClosedUnhandled("length list",
                          start + "Content-Length: 1, 1\r\n\r\nx");
    ExpectClosedUnhandled("signed length",
                          start + "Content-Length: +1\r\n\r\nx");
    ExpectClosedUnhandled(
        "other encoding",
        start + "Transfer-Encoding: chunked, identity\r\n" + chunks);
  }

  // Guards against connections that are occupied by callers sending one byte at
  // a time.
  void request_sent_slowly_is_closed_by_the_read_timeout() {
    test_server server(Settings(), RespondingHandler());
    CPPUNIT_ASSERT(server.listens());
    raw_connection caller(raw_connection::ConnectedSocket(kPort));
    bool closed = false;
    int sent = 0;
    for (; sent < 50 && !closed; ++sent) {
      caller.Send(std::string(1, "GET /aaaaaaaa"[sent % 13]));
      closed = caller.Read({}, 100ms).closed;
    }
    CPPUNIT_ASSERT(closed);
    CPPUNIT_ASSERT(sent > 1);
    CPPUNIT_ASSERT_EQUAL(0, handled_.load());
  }

  // Guards against a caller that receives the response to a different request
  // of the same connection.
  void requests_pipelined_get_responses_in_order() {
    std::mutex mutex;
    std::vector<responder_ptr> waiting;
    test_server server(Settings(), [&](const http_request& request,
                                       const responder_ptr& responder) {
      const std::lock_guard lock(mutex);
      waiting.push_back(responder);
      if (request.path == "/b") {
        responder->Respond(200, {}, "second");
        waiting.front()->Respond(200, {}, "first");
      }
    });
    CPPUNIT_ASSERT(server.listens());
    raw_connection caller(raw_connection::ConnectedSocket(kPort));
    caller.Send(Get("/a") + Get("/b"));
    const std::string responses = caller.Read("second").bytes;
    const std::size_t first = responses.find("first");
    CPPUNIT_ASSERT(first != std::string::npos);
    CPPUNIT_ASSERT(responses.find("second") != std::string::npos);
    CPPUNIT_ASSERT(first < responses.find("second"));
  }

  // Guards against a truncated response and against a request that stays open
  // when a caller closes its sending direction after the request.
  void caller_half_closed_gets_complete_response_or_none() {
    std::promise<responder_ptr> received;
    test_server server(
        Settings(), [&](const http_request&, const responder_ptr& responder) {
          received.set_value(responder);
        });
    CPPUNIT_ASSERT(server.listens());
    raw_connection caller(raw_connection::ConnectedSocket(kPort));
    caller.Send(Get("/"));
    const responder_ptr responder = received.get_future().get();
    caller.HalfClose();
    std::this_thread::sleep_for(50ms);
    responder->Respond(200, {}, "whole");
    const auto got = caller.Read();
    CPPUNIT_ASSERT(got.closed);
    CPPUNIT_ASSERT(got.bytes.empty() || got.bytes.ends_with("\r\n\r\nwhole"));
    CPPUNIT_ASSERT(HasOpenRequests(server.server(), 0));
  }

  // Guards against a shutdown that waits for a request whose responder was
  // destroyed without a response.
  void responder_dropped_without_response_is_not_counted() {
    test_server server(
        Settings(),
        [this](const http_request&, const responder_ptr&) { ++handled_; });
    CPPUNIT_ASSERT(server.listens());
    raw_connection caller(raw_connection::ConnectedSocket(kPort));
    caller.Send(Get("/"));
    caller.Read({}, 100ms);
    CPPUNIT_ASSERT_EQUAL(1, handled_.load());
    CPPUNIT_ASSERT(HasOpenRequests(server.server(), 0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_server_test);

}  // namespace marjoramsill
