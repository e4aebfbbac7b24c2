#include "raw_endpoint.h"

#include <asio/buffer.hpp>
#include <asio/ip/address.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "http_call.h"
#include "platform/field_names.h"

namespace marjoramsill {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr milliseconds kHeartbeatInterval{300};
constexpr milliseconds kHeartbeatTimeout{1'000};
constexpr int kSlots = 32;
constexpr std::string_view kIdMark = "{id}";

}  // namespace

class raw_endpoint::session : public std::enable_shared_from_this<session> {
 public:
  session(tcp::socket socket, raw_endpoint& owner)
      : socket_(std::move(socket)), owner_(owner) {}

  void Start() {
    asio::async_read_until(
        socket_, asio::dynamic_buffer(request_), "\r\n\r\n",
        [self = shared_from_this()](std::error_code error, std::size_t) {
          if (error) return;
          self->answer_ = self->owner_.answer_;
          self->InsertId();
          self->Write(self->answer_.begin);
        });
  }

  void Close() {
    std::error_code ignored;
    socket_.close(ignored);
  }

 private:
  void InsertId() {
    const std::string name = std::string(platform::kRequestId) + ": ";
    const std::size_t field = request_.find(name);
    const std::size_t at = answer_.begin.find(kIdMark);
    if (field == std::string::npos || at == std::string::npos) return;
    const std::size_t begin = field + name.size();
    const std::size_t end = request_.find("\r\n", begin);
    answer_.begin.replace(at, kIdMark.size(),
                          request_.substr(begin, end - begin));
  }

  void Write(const std::string& bytes) {
    asio::async_write(
        socket_, asio::buffer(bytes),
        [self = shared_from_this()](std::error_code error, std::size_t) {
          if (error) return;
          if (!self->answer_.repeated.empty()) {
            self->Write(self->answer_.repeated);
          } else {
            self->End();
          }
        });
  }

  void End() {
    std::error_code ignored;
    if (answer_.end == raw_end::kReset) {
      socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    if (answer_.end == raw_end::kProcessEnd) owner_.EndProcess();
    Close();
  }

  tcp::socket socket_;
  raw_endpoint& owner_;
  raw_answer answer_;
  std::string request_;
};

raw_endpoint::raw_endpoint(asio::io_context& io, const socket_address& listen,
                           std::function<socket_address()> control)
    : io_(io), listen_(listen), control_(std::move(control)), heartbeat_(io) {
  Listen();
  SendHeartbeat();
}

void raw_endpoint::Restart() {
  if (!acceptor_) Listen();
}

void raw_endpoint::Listen() {
  acceptor_.emplace(
      io_, tcp::endpoint{asio::ip::make_address(listen_.ip), listen_.port});
  Accept();
}

void raw_endpoint::Accept() {
  acceptor_->async_accept([this](std::error_code error, tcp::socket socket) {
    if (error) return;
    std::erase_if(sessions_, [](const auto& each) { return each.expired(); });
    const auto begun = std::make_shared<session>(std::move(socket), *this);
    sessions_.push_back(begun);
    begun->Start();
    Accept();
  });
}

void raw_endpoint::EndProcess() {
  acceptor_.reset();
  for (const auto& each : std::exchange(sessions_, {})) {
    if (const auto open = each.lock()) open->Close();
  }
}

void raw_endpoint::SendHeartbeat() {
  const nlohmann::json body{{"service", "raw"},
                            {"address", FormatSocketAddress(listen_)},
                            {"zone", "d0"},
                            {"version", "v1"},
                            {"slots", kSlots},
                            {"state", "ready"},
                            {"coldRemainingMs", 0},
                            {"sequence", ++sequence_},
                            {"born", 1'700'000'000'000}};
  soak::Call(io_, control_(),
             soak::RequestText("PUT", "/instances/raw-1", {}, body.dump()),
             kHeartbeatTimeout, [](const auto& /*response*/) {});
  heartbeat_.expires_after(kHeartbeatInterval);
  heartbeat_.async_wait([this](std::error_code error) {
    if (!error) SendHeartbeat();
  });
}

}  // namespace marjoramsill
