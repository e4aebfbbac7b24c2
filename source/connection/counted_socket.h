#ifndef MARJORAMSILL_CONNECTION_COUNTED_SOCKET_H_
#define MARJORAMSILL_CONNECTION_COUNTED_SOCKET_H_

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/error.hpp>
#include <asio/execution/context.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/query.hpp>
#include <cstddef>
#include <memory>
#include <system_error>
#include <utility>

#include "connection/receive_account.h"
#include "connection/receive_budget.h"

namespace marjoramsill {

/// TCP socket that counts what it receives in the receive_budget of its I/O
/// context. A read fails with no_buffer_space if the budget is exhausted, which
/// makes the HTTP library close the connection.
class counted_socket : public asio::ip::tcp::socket {
 public:
  explicit counted_socket(asio::io_context& io) : asio::ip::tcp::socket(io) {}
  counted_socket(counted_socket&&) = default;
  counted_socket& operator=(counted_socket&&) = default;

  // The name is fixed by Asio. `handler`: void(std::error_code, std::size_t).
  // NOLINTNEXTLINE(readability-identifier-naming)
  template <class Buffers, class Handler>
  void async_read_some(const Buffers& buffers, Handler&& handler) {
    const std::shared_ptr<receive_account> account = Account();
    const auto executor =
        asio::get_associated_executor(handler, get_executor());
    auto counting = [account, inner = std::forward<Handler>(handler)](
                        std::error_code error, std::size_t bytes) mutable {
      account->Add(bytes);
      const auto before = std::exchange(receive_account::Current(), account);
      inner(error, bytes);
      receive_account::Current() = before;
    };
    if (account->MayReceive()) {
      asio::ip::tcp::socket::async_read_some(
          buffers, asio::bind_executor(executor, std::move(counting)));
      return;
    }
    account->Refuse();
    asio::post(executor, [refused = std::move(counting)]() mutable {
      refused(asio::error::no_buffer_space, 0);
    });
  }

 private:
  /// The library reuses a socket that it has moved the connection out of.
  const std::shared_ptr<receive_account>& Account() {
    if (!account_) {
      auto& context = asio::query(get_executor(), asio::execution::context);
      account_ = std::make_shared<receive_account>(
          asio::use_service<receive_budget>(context));
    }
    return account_;
  }

  std::shared_ptr<receive_account> account_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_COUNTED_SOCKET_H_
