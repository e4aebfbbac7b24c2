#include "request/proxied_call.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "connection/caller_connection.h"
#include "connection/endpoint_connection_pool.h"
#include "process/entry/call_environment.h"
#include "process/entry/content_breaker.h"
#include "process/entry/decision_log.h"
#include "process/entry/entry_metrics.h"
#include "process/entry/origin_finding.h"
#include "process/entry/stop_sequence.h"
#include "process/placement/endpoint_pool.h"
#include "process/placement/retry_window.h"
#include "version/routing/routing_table.h"

namespace marjoramsill {

using asio::ip::tcp;
using std::chrono::seconds;

/// Requests at an entry process whose evacuation set may be out of date.
class proxied_call_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(proxied_call_test);
  CPPUNIT_TEST(attempt_with_a_current_set_goes_to_an_endpoint);
  CPPUNIT_TEST(attempt_after_the_process_was_frozen_is_refused);
  CPPUNIT_TEST(relayed_attempt_after_the_process_was_frozen_is_returned);
  CPPUNIT_TEST_SUITE_END();

  const model_id pool_id_{"chat"};
  asio::io_context io_;
  tcp::socket client_{io_};
  endpoint_connection_pool connections_{io_};
  endpoint_connection_pool relay_connections_{io_};
  entry_metrics metrics_;
  decision_log log_{decision_log::hooks{[](const std::string&) {},
                                        [] { return std::uint64_t{0}; }}};
  content_breaker contents_{std::mt19937_64(1)};
  stop_sequence stop_{seconds(8)};
  retry_window retries_{retry_settings()};
  endpoint_pool pool_{placement_settings(), std::mt19937_64(1)};
  endpoint_record record_;
  caller_connection_hooks hooks_;
  caller_message message_;
  std::shared_ptr<caller_connection> caller_;
  call_environment environment_;
  std::function<void(const origin_finding&)> on_origin_;
  bool may_serve_ = true;

  static std::shared_ptr<const routing_table> MakeTable(const model_id& pool) {
    route_rule route;
    route.name = "chat";
    route.host = "a";
    route.path_prefix = "/";
    route.kind = route_kind::kStreaming;
    route.timeout = seconds(10);
    route.targets = {{pool, 1}};
    route.is_public = true;
    route.is_resumable = true;
    routing_document document;
    document.version = document_version(1);
    document.routes = {route};
    return std::make_shared<const routing_table>(std::move(document));
  }

  void Connect() {
    tcp::acceptor acceptor(io_, {asio::ip::make_address("127.0.0.1"), 0});
    client_.connect(acceptor.local_endpoint());
    hooks_.on_request = [this](const auto& /*connection*/, auto message) {
      message_ = std::move(message);
    };
    hooks_.on_invalid_request = [](parse_state, int) {};
    hooks_.on_end = [](caller_connection&) {};
    caller_ = std::make_shared<caller_connection>(
        acceptor.accept(), hooks_, caller_limits(), environment_.clock());
    caller_->Start();
    asio::write(client_,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n"
                                         "Last-Event-Id: 3\r\n\r\n")));
    while (message_.method.empty()) {
      io_.restart();
      io_.poll();
    }
  }

  /// A call that waits for the software that began its stream.
  std::shared_ptr<proxied_call> StartCall(std::optional<relay_terms> terms) {
    auto call =
        std::make_shared<proxied_call>(environment_, caller_, message_, terms);
    call->Start();
    CPPUNIT_ASSERT(on_origin_);
    CPPUNIT_ASSERT(!call->is_done());
    return call;
  }

  std::string ReadResponse() {
    std::array<char, 4'096> buffer;
    const std::size_t size = client_.read_some(asio::buffer(buffer));
    return std::string(buffer.data(), size);
  }

 public:
  void setUp() override {
    record_.id = endpoint_id("e0");
    record_.pool = pool_id_;
    record_.address = "127.0.0.1:1";
    record_.slots = 4;
    record_.software = "1";
    record_.incarnation = incarnation_number(1);
    pool_.Apply(record_);
    environment_.connections = &connections_;
    environment_.relay_connections = &relay_connections_;
    environment_.metrics = &metrics_;
    environment_.log = &log_;
    environment_.contents = &contents_;
    environment_.stop = &stop_;
    environment_.table = [table = MakeTable(pool_id_)] { return table; };
    environment_.may_serve = [this] { return may_serve_; };
    environment_.pool = [this](const model_id&) { return &pool_; };
    environment_.retries = [this](const model_id&) { return &retries_; };
    environment_.find_origin = [this](const auto&, const auto&, auto done) {
      on_origin_ = done;
    };
    environment_.clock = [] { return steady_time(seconds(1'000)); };
    environment_.random = std::mt19937_64(1);
    Connect();
  }

  void attempt_with_a_current_set_goes_to_an_endpoint() {
    const auto call = StartCall({});
    on_origin_({DigestOfSoftware(record_), "here"});
    CPPUNIT_ASSERT(!call->is_done());
    CPPUNIT_ASSERT_EQUAL(1U, pool_.Find(record_.id)->in_flight());
  }

  // Guards against a request to an endpoint of a domain that was evacuated
  // while the process was frozen and the request waited.
  void attempt_after_the_process_was_frozen_is_refused() {
    const auto call = StartCall({});
    may_serve_ = false;
    on_origin_({DigestOfSoftware(record_), "here"});
    CPPUNIT_ASSERT(call->is_done());
    CPPUNIT_ASSERT_EQUAL(0U, pool_.Find(record_.id)->in_flight());
    const std::string response = ReadResponse();
    CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 503 "));
    CPPUNIT_ASSERT(response.find("Retry-After: ") != std::string::npos);
  }

  // Guards against a relayed request that is refused although another VM may
  // serve it.
  void relayed_attempt_after_the_process_was_frozen_is_returned() {
    const auto call = StartCall(relay_terms{document_version(1), 0, {}});
    may_serve_ = false;
    on_origin_({DigestOfSoftware(record_), "here"});
    CPPUNIT_ASSERT(call->is_done());
    CPPUNIT_ASSERT_EQUAL(0U, pool_.Find(record_.id)->in_flight());
    CPPUNIT_ASSERT(ReadResponse().find("Marjoramsill-Relay: unavailable") !=
                   std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxied_call_test);

}  // namespace marjoramsill
