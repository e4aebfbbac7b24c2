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

/// Waits until the server has `count` requests without an answer.
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
  CPPUNIT_TEST(requests_pipelined_are_answered_in_order);
  CPPUNIT_TEST(caller_half_closed_gets_whole_answer_or_none);
  CPPUNIT_TEST(responder_dropped_without_answer_is_not_counted);
  CPPUNIT_TEST_SUITE_END();

  /// Requests that reached the handler.
  std::atomic<int> handled_{0};

  http_server::handler Answering() {
    return [this](const caller_request& request, const responder_ptr& answer) {
      ++handled_;
      answer->Respond(200, {}, "path " + request.path);
    };
  }

  void ClosesWithoutHandling(const std::string& name, const std::string& text) {
    raw_connection caller(raw_connection::ConnectedSocket(kPort));
    caller.Send(text);
    const auto answer = caller.Read();
    CPPUNIT_ASSERT_MESSAGE(name + ": stays open", answer.closed);
    CPPUNIT_ASSERT_MESSAGE(name + ": " + answer.bytes,
                           !answer.bytes.starts_with("HTTP/1.1 2"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 0, handled_.load());
  }

 public:
  void setUp() override { handled_ = 0; }

  // Guards against connections that are closed without a trace of the reason.
  void bytes_that_are_no_request_are_reported() {
    std::promise<std::string> reported;
    http_server_settings settings = Settings();
    settings.on_unreadable = [&reported](std::string_view reason) {
      reported.set_value(std::string(reason));
    };
    test_server server(settings, Answering());
    CPPUNIT_ASSERT(server.listens());
    ClosesWithoutHandling("garbage", "\x01\x02 no request\r\n\r\n");
    auto reason = reported.get_future();
    CPPUNIT_ASSERT(reason.wait_for(5s) == std::future_status::ready);
    CPPUNIT_ASSERT(reason.get().find("parser") != std::string::npos);
  }

  // Guards against an engine that works on for a caller that has gone.
  void caller_disconnect_is_reported_once() {
    std::atomic<int> disconnects{0};
    std::promise<responder_ptr> received;
    test_server server(
        Settings(), [&](const caller_request&, const responder_ptr& answer) {
          answer->OnDisconnect([&disconnects] { ++disconnects; });
          answer->Begin(200, {});
          answer->Write("first");
          received.set_value(answer);
        });
    CPPUNIT_ASSERT(server.listens());
    raw_connection caller(raw_connection::ConnectedSocket(kPort));
    caller.Send(Get("/"));
    CPPUNIT_ASSERT(!caller.Read("first").closed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.server().open_requests());
    CPPUNIT_ASSERT_EQUAL(0, disconnects.load());
    caller.Close();
    CPPUNIT_ASSERT(HasOpenRequests(server.server(), 0));
    const responder_ptr answer = received.get_future().get();
    answer->Write("late");
    answer->End();
    std::this_thread::sleep_for(50ms);
    CPPUNIT_ASSERT_EQUAL(1, disconnects.load());
  }

  // Guards against memory that a caller can fill without a bound.
  void request_beyond_bounds_closes_the_connection() {
    test_server server(Settings(), Answering());
    CPPUNIT_ASSERT(server.listens());
    const std::string start = "POST / HTTP/1.1\r\nHost: a\r\n";
    std::string many = start;
    for (int i = 0; i < 150; ++i) many += "X-" + std::to_string(i) + ": v\r\n";
    ClosesWithoutHandling("many fields", many + "\r\n");
    ClosesWithoutHandling(
        "long value", start + "X-A: " + std::string(9'000, 'v') + "\r\n\r\n");
    ClosesWithoutHandling("long name",
                          start + std::string(300, 'n') + ": v\r\n\r\n");
    ClosesWithoutHandling("long target", Get("/" + std::string(9'000, 'p')));
    const std::string body(kMaxBodyBytes + 1, 'b');
    ClosesWithoutHandling("body by length",
                          start + "Content-Length: 1001\r\n" + "\r\n" + body);
    ClosesWithoutHandling("body by chunks",
                          start + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" +
                              body + "\r\n0\r\n\r\n");
  }

  // Guards against request smuggling: two processes that read different
  // lengths see different requests on one connection.
  void request_with_ambiguous_length_is_refused() {
    test_server server(Settings(), Answering());
    CPPUNIT_ASSERT(server.listens());
    const std::string start = "POST / HTTP/1.1\r\nHost: a\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string chunks = "\r\n1\r\nx\r\n0\r\n\r\n";
    ClosesWithoutHandling("length, then encoding",
                          start + "Content-Length: 3\r\n" + chunked + chunks);
    ClosesWithoutHandling("encoding, then length",
                          start + chunked + "Content-Length: 3\r\n" + chunks);
    ClosesWithoutHandling(
        "two lengths",
        start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxy");
    ClosesWithoutHandling(
        "equal lengths",
        start + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx");
    ClosesWithoutHandling("length list",
                          start + "Content-Length: 1, 1\r\n\r\nx");
    ClosesWithoutHandling("signed length",
                          start + "Content-Length: +1\r\n\r\nx");
    ClosesWithoutHandling(
        "other encoding",
        start + "Transfer-Encoding: chunked, identity\r\n" + chunks);
  }

  // Guards against connections held by callers that send a byte at a time.
  void request_sent_slowly_is_closed_by_the_read_timeout() {
    test_server server(Settings(), Answering());
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

  // Guards against a caller that gets the answer to another of its requests.
  void requests_pipelined_are_answered_in_order() {
    std::mutex mutex;
    std::vector<responder_ptr> waiting;
    test_server server(Settings(), [&](const caller_request& request,
                                       const responder_ptr& answer) {
      const std::lock_guard lock(mutex);
      waiting.push_back(answer);
      if (request.path == "/b") {
        answer->Respond(200, {}, "second");
        waiting.front()->Respond(200, {}, "first");
      }
    });
    CPPUNIT_ASSERT(server.listens());
    raw_connection caller(raw_connection::ConnectedSocket(kPort));
    caller.Send(Get("/a") + Get("/b"));
    const std::string answers = caller.Read("second").bytes;
    const std::size_t first = answers.find("first");
    CPPUNIT_ASSERT(first != std::string::npos);
    CPPUNIT_ASSERT(answers.find("second") != std::string::npos);
    CPPUNIT_ASSERT(first < answers.find("second"));
  }

  // Guards against half an answer, and against a request that stays open, when
  // a caller ends its sending direction after the request.
  void caller_half_closed_gets_whole_answer_or_none() {
    std::promise<responder_ptr> received;
    test_server server(Settings(),
                       [&](const caller_request&, const responder_ptr& answer) {
                         received.set_value(answer);
                       });
    CPPUNIT_ASSERT(server.listens());
    raw_connection caller(raw_connection::ConnectedSocket(kPort));
    caller.Send(Get("/"));
    const responder_ptr answer = received.get_future().get();
    caller.HalfClose();
    std::this_thread::sleep_for(50ms);
    answer->Respond(200, {}, "whole");
    const auto got = caller.Read();
    CPPUNIT_ASSERT(got.closed);
    CPPUNIT_ASSERT(got.bytes.empty() || got.bytes.ends_with("\r\n\r\nwhole"));
    CPPUNIT_ASSERT(HasOpenRequests(server.server(), 0));
  }

  // Guards against a shutdown that waits for a request nobody will answer.
  void responder_dropped_without_answer_is_not_counted() {
    test_server server(
        Settings(),
        [this](const caller_request&, const responder_ptr&) { ++handled_; });
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
