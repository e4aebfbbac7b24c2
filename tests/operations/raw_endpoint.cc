#include "raw_endpoint.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/completion_condition.hpp>
#include <asio/ip/address.hpp>
#include <asio/read.hpp>
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
constexpr const char* kHeadEnd = "\r\n\r\n";
constexpr milliseconds kLaterDelay{150};

}  // namespace

class raw_endpoint::session : public std::enable_shared_from_this<session> {
 public:
  session(tcp::socket socket, raw_endpoint& owner)
      : socket_(std::move(socket)),
        owner_(owner),
        timer_(socket_.get_executor()) {}

  void Start() {
    asio::async_read_until(
        socket_, asio::dynamic_buffer(input_), kHeadEnd,
        [self = shared_from_this()](std::error_code error, std::size_t head) {
          if (error) return;
          if (self->owner_.NextAnswer().ignores_body) {
            self->Answer(head);
          } else {
            self->ReadBody(head);
          }
        });
  }

  void Close() {
    std::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
  }

 private:
  void ReadBody(std::size_t head) {
    const std::string length = FieldValue("Content-Length");
    const std::size_t size = head + (length.empty() ? 0 : std::stoul(length));
    const std::size_t missing = size > input_.size() ? size - input_.size() : 0;
    asio::async_read(
        socket_, asio::dynamic_buffer(input_), asio::transfer_exactly(missing),
        [self = shared_from_this(), size](std::error_code error, std::size_t) {
          if (!error) self->Answer(size);
        });
  }

  void Answer(std::size_t size) {
    id_ = FieldValue(platform::kRequestId);
    input_.erase(0, size);
    answer_ = owner_.TakeAnswer();
    next_piece_ = 0;
    InsertId(answer_.begin);
    InsertId(answer_.later);
    Write(answer_.begin);
  }

  std::string FieldValue(const std::string& name) const {
    const std::string start = name + ": ";
    const std::size_t field = input_.find(start);
    if (field == std::string::npos) return "";
    const std::size_t begin = field + start.size();
    return input_.substr(begin, input_.find("\r\n", begin) - begin);
  }

  void InsertId(std::string& bytes) const {
    const std::size_t at = bytes.find(kIdMark);
    if (at != std::string::npos) bytes.replace(at, kIdMark.size(), id_);
  }

  void Write(const std::string& bytes) {
    asio::async_write(
        socket_, asio::buffer(bytes),
        [self = shared_from_this()](std::error_code error, std::size_t) {
          if (error) return;
          if (self->next_piece_ < self->answer_.pieces.size()) {
            self->WriteAfter(self->answer_.interval,
                             self->answer_.pieces[self->next_piece_++]);
          } else if (!self->answer_.repeated.empty()) {
            self->WriteAfter(self->answer_.interval, self->answer_.repeated);
          } else if (!self->answer_.later.empty()) {
            self->WriteLater();
          } else {
            self->End();
          }
        });
  }

  void WriteLater() {
    later_ = std::exchange(answer_.later, "");
    WriteAfter(kLaterDelay, later_);
  }

  void WriteAfter(milliseconds delay, const std::string& bytes) {
    if (delay.count() == 0) {
      Write(bytes);
      return;
    }
    timer_.expires_after(delay);
    timer_.async_wait(
        [self = shared_from_this(), &bytes](std::error_code error) {
          if (!error) self->Write(bytes);
        });
  }

  void End() {
    if (answer_.end == raw_end::kKeep) {
      Start();
      return;
    }
    std::error_code ignored;
    if (answer_.end == raw_end::kReset) {
      socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    if (answer_.end == raw_end::kShutdown) {
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
      timer_.expires_after(kLaterDelay);
      timer_.async_wait(
          [self = shared_from_this()](std::error_code) { self->Close(); });
      return;
    }
    if (answer_.end == raw_end::kProcessEnd) owner_.EndProcess();
    Close();
  }

  tcp::socket socket_;
  raw_endpoint& owner_;
  asio::steady_timer timer_;
  raw_answer answer_;
  std::size_t next_piece_ = 0;
  std::string later_;
  std::string input_;
  std::string id_;
};

raw_endpoint::raw_endpoint(asio::io_context& io, const socket_address& listen,
                           std::function<socket_address()> control,
                           std::string id)
    : io_(io),
      listen_(listen),
      control_(std::move(control)),
      id_(std::move(id)),
      heartbeat_(io) {
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

void raw_endpoint::SetAnswers(std::vector<raw_answer> answers) {
  answers_ = std::move(answers);
  next_answer_ = 0;
}

raw_answer raw_endpoint::NextAnswer() const {
  if (answers_.empty()) return {};
  return answers_[std::min(next_answer_, answers_.size() - 1)];
}

raw_answer raw_endpoint::TakeAnswer() {
  ++request_count_;
  raw_answer taken = NextAnswer();
  ++next_answer_;
  return taken;
}

void raw_endpoint::EndProcess() {
  acceptor_.reset();
  for (const auto& each : std::exchange(sessions_, {})) {
    if (const auto open = each.lock()) open->Close();
  }
}

std::string raw_endpoint::HeartbeatBody(int sequence) const {
  const nlohmann::json body{{"service", "raw"},
                            {"address", FormatSocketAddress(listen_)},
                            {"zone", "d0"},
                            {"version", "v1"},
                            {"slots", kSlots},
                            {"state", "ready"},
                            {"coldRemainingMs", 0},
                            {"sequence", sequence},
                            {"born", 1'700'000'000'000}};
  return body.dump();
}

void raw_endpoint::SendHeartbeat() {
  soak::Call(io_, control_(),
             soak::RequestText("PUT", "/instances/" + id_, {},
                               HeartbeatBody(++sequence_)),
             kHeartbeatTimeout, [](const auto& /*response*/) {});
  heartbeat_.expires_after(kHeartbeatInterval);
  heartbeat_.async_wait([this](std::error_code error) {
    if (!error) SendHeartbeat();
  });
}

}  // namespace marjoramsill
