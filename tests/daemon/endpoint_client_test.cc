#include "connection/endpoint_client.h"

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "connection/endpoint_call.h"
#include "connection/http_responder.h"
#include "raw_connection.h"
#include "test_server.h"

namespace marjoramsill {
namespace {

using namespace std::chrono_literals;
using responder_ptr = std::shared_ptr<http_responder>;

constexpr std::uint16_t kPort = 7604;
constexpr std::uint16_t kRawPort = 7605;
/// Nothing listens here.
constexpr std::uint16_t kClosedPort = 7609;

std::string Url(std::uint16_t port) {
  return "http://127.0.0.1:" + std::to_string(port) + "/x";
}

/// Sends fixed bytes on each connection after the head of the request, then
/// closes it.
class raw_server {
 public:
  explicit raw_server(std::string response) : response_(std::move(response)) {
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kRawPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    listens_ = ::bind(socket_, reinterpret_cast<sockaddr*>(&address),
                      sizeof(address)) == 0 &&
               ::listen(socket_, 8) == 0;
    thread_ = std::thread([this] { Serve(); });
  }
  ~raw_server() {
    ::shutdown(socket_, SHUT_RDWR);
    thread_.join();
    ::close(socket_);
  }
  raw_server(const raw_server&) = delete;
  raw_server& operator=(const raw_server&) = delete;

  bool listens() const { return listens_; }
  int requests() const { return requests_; }

 private:
  void Serve() {
    for (;;) {
      const int accepted = ::accept(socket_, nullptr, nullptr);
      if (accepted < 0) return;
      raw_connection connection(accepted);
      const auto request = connection.Read("\r\n\r\n", 2s);
      if (!request.bytes.empty()) ++requests_;
      connection.Send(response_);
    }
  }

  const std::string response_;
  int socket_;
  bool listens_ = false;
  std::atomic<int> requests_{0};
  std::thread thread_;
};

/// Data that the hooks of a call have received.
struct outcome {
  endpoint_call_end end = endpoint_call_end::kComplete;
  int status = 0;
  http_field_list fields;
  std::string body;
};

/// Runs a call to its end. Replaces its hooks for the response.
outcome Run(endpoint_client& client, endpoint_call call) {
  auto got = std::make_shared<outcome>();
  auto ended = std::make_shared<std::promise<void>>();
  call.on_headers = [got](int status, const http_field_list& fields) {
    got->status = status;
    got->fields = fields;
  };
  call.on_data = [got](const std::string& data) { got->body += data; };
  call.on_end = [got, ended](endpoint_call_end end) {
    got->end = end;
    ended->set_value();
  };
  auto future = ended->get_future();
  client.Start(std::move(call));
  CPPUNIT_ASSERT(future.wait_for(10s) == std::future_status::ready);
  return *got;
}

endpoint_call Call(std::uint16_t port) {
  endpoint_call call;
  call.url = Url(port);
  call.body = "request";
  call.total_timeout = 3s;
  return call;
}

}  // namespace

class endpoint_client_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_client_test);
  CPPUNIT_TEST(response_arrives_with_status_fields_and_body);
  CPPUNIT_TEST(response_streamed_arrives_as_it_is_written);
  CPPUNIT_TEST(call_cancelled_closes_the_connection);
  CPPUNIT_TEST(call_refused_connection_is_not_sent);
  CPPUNIT_TEST(call_stopped_by_on_connected_sends_nothing);
  CPPUNIT_TEST(call_cut_off_is_broken_and_sent_once);
  CPPUNIT_TEST(call_without_response_times_out);
  CPPUNIT_TEST_SUITE_END();

  static http_server_settings Settings() {
    http_server_settings settings;
    settings.listen = {"127.0.0.1", kPort};
    return settings;
  }

 public:
  // Guards against a request or a response that is changed in transit.
  void response_arrives_with_status_fields_and_body() {
    const std::string body(300'000, 'b');
    test_server server(Settings(), [&body](const http_request& request,
                                           const responder_ptr& responder) {
      const http_field* sent = FindField(request.fields, "X-Sent");
      responder->Respond(409,
                         {{"X-Got", sent == nullptr ? "" : sent->value},
                          {"X-Method", request.method}},
                         request.body + body);
    });
    CPPUNIT_ASSERT(server.listens());
    endpoint_client client;
    endpoint_call call = Call(kPort);
    call.method = "PUT";
    call.fields = {{"X-Sent", "a b"}};
    const outcome got = Run(client, std::move(call));
    CPPUNIT_ASSERT(got.end == endpoint_call_end::kComplete);
    CPPUNIT_ASSERT_EQUAL(409, got.status);
    CPPUNIT_ASSERT_EQUAL(std::string("a b"),
                         FindField(got.fields, "x-got")->value);
    CPPUNIT_ASSERT_EQUAL(std::string("PUT"),
                         FindField(got.fields, "x-method")->value);
    CPPUNIT_ASSERT(got.body == "request" + body);
  }

  // Guards against a stream that is buffered until its end.
  void response_streamed_arrives_as_it_is_written() {
    std::promise<responder_ptr> received;
    test_server server(
        Settings(), [&](const http_request&, const responder_ptr& responder) {
          responder->Begin(200, {{"Content-Type", "text/event-stream"}});
          responder->Write("data: 1\n\n");
          received.set_value(responder);
        });
    CPPUNIT_ASSERT(server.listens());
    endpoint_client client;
    std::promise<std::string> first;
    std::promise<endpoint_call_end> ended;
    std::string body;
    endpoint_call call = Call(kPort);
    call.on_data = [&](const std::string& data) {
      if (body.empty()) first.set_value(data);
      body += data;
    };
    call.on_end = [&](endpoint_call_end end) { ended.set_value(end); };
    client.Start(std::move(call));
    const responder_ptr responder = received.get_future().get();
    auto early = first.get_future();
    CPPUNIT_ASSERT(early.wait_for(5s) == std::future_status::ready);
    CPPUNIT_ASSERT_EQUAL(std::string("data: 1\n\n"), early.get());
    responder->Write("data: [DONE]\n\n");
    responder->End();
    auto end = ended.get_future();
    CPPUNIT_ASSERT(end.wait_for(5s) == std::future_status::ready);
    CPPUNIT_ASSERT(end.get() == endpoint_call_end::kComplete);
    CPPUNIT_ASSERT_EQUAL(std::string("data: 1\n\ndata: [DONE]\n\n"), body);
  }

  // Guards against an engine that continues after its call was cancelled and
  // against a hook that is called after the cancellation.
  void call_cancelled_closes_the_connection() {
    std::promise<responder_ptr> received;
    std::promise<void> disconnected;
    test_server server(Settings(), [&](const http_request&,
                                       const responder_ptr& responder) {
      responder->OnDisconnect([&disconnected] { disconnected.set_value(); });
      responder->Begin(200, {});
      received.set_value(responder);
    });
    CPPUNIT_ASSERT(server.listens());
    endpoint_client client;
    std::atomic<int> ends{0};
    endpoint_call call = Call(kPort);
    call.on_end = [&ends](endpoint_call_end) { ++ends; };
    const auto id = client.Start(std::move(call));
    auto future = received.get_future();
    CPPUNIT_ASSERT(future.wait_for(5s) == std::future_status::ready);
    // A responder that is destroyed would not report the disconnect.
    const responder_ptr responder = future.get();
    client.Cancel(id);
    CPPUNIT_ASSERT(disconnected.get_future().wait_for(5s) ==
                   std::future_status::ready);
    CPPUNIT_ASSERT_EQUAL(0, ends.load());
  }

  // Guards against "outcome unknown" for a request that was certainly not
  // executed.
  void call_refused_connection_is_not_sent() {
    endpoint_client client;
    CPPUNIT_ASSERT(Run(client, Call(kClosedPort)).end ==
                   endpoint_call_end::kNotSent);
  }

  // Guards against a request that is sent although its claim was abandoned.
  void call_stopped_by_on_connected_sends_nothing() {
    raw_server server("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    CPPUNIT_ASSERT(server.listens());
    endpoint_client client;
    endpoint_call call = Call(kRawPort);
    call.on_connected = [] { return false; };
    CPPUNIT_ASSERT(Run(client, std::move(call)).end ==
                   endpoint_call_end::kNotSent);
    // The server handles connections sequentially, so the first one has ended.
    CPPUNIT_ASSERT(Run(client, Call(kRawPort)).end ==
                   endpoint_call_end::kComplete);
    CPPUNIT_ASSERT_EQUAL(1, server.requests());
  }

  // Guards against a truncated response that counts as complete and against an
  // automatic second attempt of libcurl.
  void call_cut_off_is_broken_and_sent_once() {
    const std::string head = "HTTP/1.1 200 OK\r\n";
    for (const std::string& response :
         {std::string(), std::string("HTTP/1.1 200"),
          head + "Content-Length: 10\r\n\r\nabc",
          head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"}) {
      raw_server server(response);
      CPPUNIT_ASSERT(server.listens());
      endpoint_client client;
      endpoint_call call = Call(kRawPort);
      call.fresh_connection = true;
      const outcome got = Run(client, std::move(call));
      CPPUNIT_ASSERT_MESSAGE(response, got.end == endpoint_call_end::kBroken);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(response, 1, server.requests());
    }
  }

  // Guards against a call that continues after its deadline.
  void call_without_response_times_out() {
    responder_ptr held;
    test_server server(Settings(), [&held](const http_request&,
                                           const responder_ptr& responder) {
      held = responder;
    });
    CPPUNIT_ASSERT(server.listens());
    endpoint_client client;
    endpoint_call call = Call(kPort);
    call.total_timeout = 300ms;
    CPPUNIT_ASSERT(Run(client, std::move(call)).end ==
                   endpoint_call_end::kTimedOut);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_client_test);

}  // namespace marjoramsill
