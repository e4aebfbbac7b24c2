#include "connection/http_server.h"

#include <atomic>
#include <mutex>
#include <restinio/all.hpp>
#include <string>
#include <string_view>
#include <system_error>
#include <unordered_map>
#include <utility>
#include <vector>

#include "connection/counted_socket.h"
#include "connection/http_responder.h"
#include "connection/receive_account.h"
#include "connection/receive_budget.h"
#include "connection/status_text.h"

namespace marjoramsill {
namespace {

/// State shared by a server and its responders, which outlive the handler
/// calls.
struct server_state {
  std::atomic<std::size_t> open_requests{0};
  std::atomic<bool> close_after_responses{false};
};

/// http_responder for a RESTinio request.
class restinio_responder final : public http_responder {
 public:
  restinio_responder(restinio::request_handle_t request,
                     std::shared_ptr<server_state> state)
      : request_(std::move(request)),
        state_(std::move(state)),
        account_(receive_account::Current()),
        received_bytes_(account_ ? account_->TakeForRequest() : 0) {
    ++state_->open_requests;
  }

  ~restinio_responder() override {
    const std::lock_guard lock(mutex_);
    Finish();
  }

  void Respond(int status, const http_field_list& fields,
               std::string body) override {
    const std::lock_guard lock(mutex_);
    if (finished_ || chunked_) return;
    auto response = request_->create_response(Status(status));
    AddFields(response, fields);
    response.set_body(std::move(body));
    response.done();
    Finish();
  }

  void Begin(int status, const http_field_list& fields) override {
    const std::lock_guard lock(mutex_);
    if (finished_ || chunked_) return;
    chunked_ = std::make_unique<chunked_builder>(
        request_->create_response<restinio::chunked_output_t>(Status(status)));
    AddFields(*chunked_, fields);
    chunked_->flush();
  }

  void Write(std::string data) override {
    const std::lock_guard lock(mutex_);
    if (finished_ || !chunked_ || data.empty()) return;
    chunked_->append_chunk(std::move(data));
    chunked_->flush();
  }

  void End() override {
    const std::lock_guard lock(mutex_);
    if (finished_ || !chunked_) return;
    chunked_->done();
    Finish();
  }

  void OnDisconnect(std::function<void()> hook) override {
    const std::lock_guard lock(mutex_);
    disconnect_ = std::move(hook);
  }

  /// Called when the connection has ended; later output is discarded.
  void Disconnect() {
    std::function<void()> hook;
    {
      const std::lock_guard lock(mutex_);
      if (finished_) return;
      hook = std::move(disconnect_);
      Finish();
    }
    if (hook) hook();
  }

 private:
  using chunked_builder =
      restinio::response_builder_t<restinio::chunked_output_t>;

  static restinio::http_status_line_t Status(int status) {
    const auto code =
        restinio::http_status_code_t(static_cast<std::uint16_t>(status));
    return {code, StatusText(status)};
  }

  template <class Builder>
  void AddFields(Builder& builder, const http_field_list& fields) {
    if (state_->close_after_responses) builder.connection_close();
    for (const http_field& field : fields) {
      builder.append_header(field.name, field.value);
    }
  }

  void Finish() {
    if (finished_) return;
    finished_ = true;
    disconnect_ = nullptr;
    if (account_) account_->Release(received_bytes_);
    --state_->open_requests;
  }

  std::mutex mutex_;
  restinio::request_handle_t request_;
  std::shared_ptr<server_state> state_;
  /// Counts the bytes of the request until its response has ended.
  const std::shared_ptr<receive_account> account_;
  const std::size_t received_bytes_;
  std::unique_ptr<chunked_builder> chunked_;
  std::function<void()> disconnect_;
  bool finished_ = false;
};

/// Notifies the responders of open requests when their connection has ended.
class disconnect_listener {
 public:
  void Add(restinio::connection_id_t connection,
           const std::shared_ptr<restinio_responder>& responder) {
    const std::lock_guard lock(mutex_);
    auto& open = responders_[connection];
    std::erase_if(open, [](const auto& entry) { return entry.expired(); });
    open.push_back(responder);
  }

  // Called by RESTinio; the name is fixed by its interface.
  void state_changed(
      const restinio::connection_state::notice_t& notice) noexcept {
    const bool closed =
        restinio::holds_alternative<restinio::connection_state::closed_t>(
            notice.cause());
    if (!closed) return;
    responder_list open;
    {
      const std::lock_guard lock(mutex_);
      const auto found = responders_.find(notice.connection_id());
      if (found == responders_.end()) return;
      open = std::move(found->second);
      responders_.erase(found);
    }
    for (const auto& entry : open) {
      if (const auto responder = entry.lock()) responder->Disconnect();
    }
  }

 private:
  // More than one while requests are pipelined.
  using responder_list = std::vector<std::weak_ptr<restinio_responder>>;

  std::mutex mutex_;
  std::unordered_map<restinio::connection_id_t, responder_list> responders_;
};

/// Passes RESTinio's log messages about HTTP parser errors, after which it
/// closes the connection, to a hook. Other messages (resets, timeouts) are
/// dropped, because callers that disconnect are part of normal operation.
class parser_error_logger {
 public:
  using hook = std::function<void(std::string_view)>;

  explicit parser_error_logger(hook on_error)
      : on_error_(std::move(on_error)) {}

  // Called by RESTinio; the names are fixed by its interface.
  // NOLINTBEGIN(readability-identifier-naming)
  template <class Builder>
  void trace(Builder&& /*message*/) const noexcept {}
  template <class Builder>
  void info(Builder&& /*message*/) const noexcept {}
  template <class Builder>
  void warn(Builder&& message) const {
    Pass(message());
  }
  template <class Builder>
  void error(Builder&& message) const {
    Pass(message());
  }
  // NOLINTEND(readability-identifier-naming)

 private:
  void Pass(const std::string& message) const {
    const bool is_parser_error = message.find("parser") != std::string::npos;
    if (on_error_ && is_parser_error) on_error_(message);
  }

  const hook on_error_;
};

struct server_traits : restinio::default_traits_t {
  // NOLINTNEXTLINE(readability-identifier-naming): fixed by RESTinio.
  static constexpr bool use_connection_count_limiter = true;
  using connection_state_listener_t = disconnect_listener;
  using stream_socket_t = counted_socket;
  using logger_t = parser_error_logger;
  using request_handler_t = std::function<restinio::request_handling_status_t(
      const restinio::request_handle_t&)>;
};

http_request CopyRequest(const restinio::request_t& request) {
  const auto& header = request.header();
  http_request copy;
  copy.method = header.method().c_str();
  copy.path = std::string(header.path());
  copy.query = std::string(header.query());
  header.for_each_field([&copy](const restinio::http_header_field_t& field) {
    copy.fields.push_back({field.name(), field.value()});
  });
  copy.body = request.body();
  return copy;
}

}  // namespace

class http_server::implementation {
 public:
  implementation(asio::io_context& io, const http_server_settings& settings,
                 handler handle)
      : settings_(settings),
        handle_(std::move(handle)),
        state_(std::make_shared<server_state>()),
        listener_(std::make_shared<disconnect_listener>()),
        server_(restinio::external_io_context(io),
                [this](auto& target) { Configure(target); }) {
    if (settings_.max_received_memory == 0) return;
    asio::use_service<receive_budget>(io).SetLimit(
        settings_.max_received_memory, settings_.on_memory_exhausted);
  }

  result<void, listen_error> Listen() {
    try {
      server_.open_sync();
      return success();
    } catch (const std::exception& error) {
      return failure(listen_error{settings_.listen, error.what()});
    }
  }

  void StopAccepting() {
    server_.close_async([] {}, [](const std::exception_ptr&) {});
  }

  server_state& state() { return *state_; }

 private:
  void Configure(restinio::server_settings_t<server_traits>& target) {
    target.address(settings_.listen.ip)
        .port(settings_.listen.port)
        .protocol(settings_.listen.ip.find(':') == std::string::npos
                      ? asio::ip::tcp::v4()
                      : asio::ip::tcp::v6())
        // With more than one, the connection is also read while a request is
        // handled, which detects that the caller has disconnected.
        .max_pipelined_requests(2)
        .max_parallel_connections(settings_.max_connections)
        .read_next_http_message_timelimit(settings_.read_timeout)
        .write_http_response_timelimit(settings_.write_timeout)
        .handle_request_timeout(settings_.handle_timeout)
        .connection_state_listener(listener_)
        .logger(settings_.on_invalid_request)
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t{}
                .max_url_size(settings_.max_target_bytes)
                .max_field_name_size(settings_.max_field_name_bytes)
                .max_field_value_size(settings_.max_field_value_bytes)
                .max_field_count(settings_.max_fields)
                .max_body_size(settings_.max_body_bytes))
        .acceptor_options_setter([](restinio::acceptor_options_t& options) {
          options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        })
        .socket_options_setter([](restinio::socket_options_t& options) {
          options.set_option(asio::ip::tcp::no_delay(true));
        })
        .request_handler([this](const restinio::request_handle_t& request) {
          return Handle(request);
        });
  }

  restinio::request_handling_status_t Handle(
      const restinio::request_handle_t& request) {
    auto responder = std::make_shared<restinio_responder>(request, state_);
    listener_->Add(request->connection_id(), responder);
    handle_(CopyRequest(*request), responder);
    return restinio::request_accepted();
  }

  const http_server_settings settings_;
  const handler handle_;
  const std::shared_ptr<server_state> state_;
  const std::shared_ptr<disconnect_listener> listener_;
  restinio::http_server_t<server_traits> server_;
};

http_server::http_server(asio::io_context& io,
                         const http_server_settings& settings, handler handle)
    : implementation_(
          std::make_unique<implementation>(io, settings, std::move(handle))) {}

http_server::~http_server() = default;

result<void, listen_error> http_server::Listen() {
  return implementation_->Listen();
}

void http_server::StopAccepting() { implementation_->StopAccepting(); }

void http_server::CloseAfterResponses() {
  implementation_->state().close_after_responses = true;
}

std::size_t http_server::open_requests() const {
  return implementation_->state().open_requests;
}

}  // namespace marjoramsill
