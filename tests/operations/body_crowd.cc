#include "body_crowd.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/ip/address.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <string_view>
#include <system_error>
#include <utility>

namespace marjoramsill {

/// One connection. Responses are discarded, or not read.
class body_crowd::client : public std::enable_shared_from_this<client> {
 public:
  client(asio::io_context& io, std::shared_ptr<const part> sent)
      : socket_(io), timer_(io), part_(std::move(sent)) {}

  void Start(const socket_address& to) {
    const asio::ip::tcp::endpoint target(asio::ip::make_address(to.ip),
                                         to.port);
    socket_.async_connect(target,
                          [self = shared_from_this()](std::error_code error) {
                            if (error) {
                              self->Close();
                              return;
                            }
                            if (self->part_->reads_answers) self->Read();
                            self->Write(self->part_->head);
                          });
  }

  void Close() {
    is_done_ = true;
    std::error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

  bool is_done() const { return is_done_; }

 private:
  void Read() {
    socket_.async_read_some(
        asio::buffer(input_),
        [self = shared_from_this()](std::error_code error, std::size_t) {
          if (error) {
            self->Close();
          } else {
            self->Read();
          }
        });
  }

  void Write(std::string_view bytes) {
    asio::async_write(
        socket_, asio::buffer(bytes.data(), bytes.size()),
        [self = shared_from_this()](std::error_code error, std::size_t) {
          if (error) {
            self->Close();
          } else {
            self->Pause();
          }
        });
  }

  void Pause() {
    if (part_->pause.count() == 0) {
      WriteBlock();
      return;
    }
    timer_.expires_after(part_->pause);
    timer_.async_wait([self = shared_from_this()](std::error_code error) {
      if (!error) self->WriteBlock();
    });
  }

  void WriteBlock() {
    const std::size_t size =
        std::min(part_->block.size(), part_->bytes - sent_);
    if (size == 0) {
      is_done_ = true;
      return;
    }
    sent_ += size;
    const std::string_view block = part_->block;
    Write(block.substr(0, size));
  }

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  const std::shared_ptr<const part> part_;
  std::array<char, 4096> input_{};
  std::size_t sent_ = 0;
  bool is_done_ = false;
};

body_crowd::body_crowd(asio::io_context& io, const socket_address& to,
                       int clients, const part& sent) {
  const auto shared = std::make_shared<const part>(sent);
  for (int i = 0; i < clients; ++i) {
    clients_.push_back(std::make_shared<client>(io, shared));
    clients_.back()->Start(to);
  }
}

body_crowd::~body_crowd() {
  for (const auto& each : clients_) each->Close();
}

bool body_crowd::IsDone() const {
  return std::all_of(clients_.begin(), clients_.end(),
                     [](const auto& each) { return each->is_done(); });
}

}  // namespace marjoramsill
