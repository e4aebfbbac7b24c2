#include "http_call.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "connection/endpoint_connection.h"

namespace marjoramsill::soak {
namespace {

struct pending_call {
  pending_call(asio::io_context& io, const socket_address& to)
      : connection(std::make_shared<endpoint_connection>(
            io, to, [](endpoint_connection& /*ended*/) {})),
        timer(io) {}

  std::shared_ptr<endpoint_connection> connection;
  asio::steady_timer timer;
  http_response response;
  std::function<void(std::optional<http_response>)> done;

  void Finish(std::optional<http_response> result) {
    if (!done) return;
    timer.cancel();
    const auto hook = std::exchange(done, nullptr);
    hook(std::move(result));
  }
};

endpoint_call_hooks Hooks(const std::shared_ptr<pending_call>& call) {
  endpoint_call_hooks hooks;
  hooks.accepts = [](const endpoint_response_head&) { return true; };
  hooks.on_head = [call](const endpoint_response_head& head) {
    call->response.head = head;
  };
  hooks.on_body = [call](std::string_view data) {
    call->response.body += data;
  };
  hooks.on_read_end = [] {};
  hooks.on_end = [call] { call->Finish(std::move(call->response)); };
  hooks.on_failure = [call](call_failure) { call->Finish(std::nullopt); };
  return hooks;
}

}  // namespace

void Call(asio::io_context& io, const socket_address& to,
          const std::string& bytes, std::chrono::milliseconds timeout,
          std::function<void(std::optional<http_response>)> done) {
  auto call = std::make_shared<pending_call>(io, to);
  call->done = std::move(done);
  call->timer.expires_after(timeout);
  call->timer.async_wait([call](std::error_code error) {
    if (error) return;
    call->connection->Close();
    call->Finish(std::nullopt);
  });
  call->connection->Connect([call, bytes](bool connected) {
    if (!call->done) return;
    if (!connected) return call->Finish(std::nullopt);
    call->connection->Send(bytes, false, Hooks(call));
  });
}

std::string RequestText(const std::string& method, const std::string& target,
                        const http_field_list& fields,
                        const std::string& body) {
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  text += "Host: soak.example\r\nConnection: close\r\n";
  for (const http_field& field : fields) {
    text += field.name + ": " + field.value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return text + body;
}

}  // namespace marjoramsill::soak
