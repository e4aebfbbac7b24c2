#include "connection/caller_listener.h"

#include <algorithm>
#include <asio/ip/address.hpp>
#include <chrono>
#include <system_error>
#include <utility>
#include <vector>

#include "connection/caller_connection.h"
#include "connection/memory_budget.h"

namespace marjoramsill {
namespace {

/// Delay after a failed accept, for example when no file descriptor is free.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
/// Maximum length of the accept queue. If it is full, the SYN is dropped and
/// callers retry after one second.
constexpr int kBacklog = 1'024;

}  // namespace

caller_listener::caller_listener(
    asio::io_context& io, settings with,
    std::function<void(const std::shared_ptr<caller_connection>&,
                       caller_message)>
        on_request,
    std::function<void(parse_state, int)> on_invalid_request,
    std::function<steady_time()> clock)
    : settings_(std::move(with)),
      clock_(std::move(clock)),
      acceptor_(io),
      retry_timer_(io) {
  hooks_.on_request = std::move(on_request);
  hooks_.on_invalid_request = std::move(on_invalid_request);
  hooks_.on_end = [this](caller_connection& ended) {
    connections_.erase(&ended);
  };
}

caller_listener::~caller_listener() {
  // Pending handlers keep the connections alive after the listener.
  for (const auto& connection : All()) connection->Abort();
}

result<void, listen_error> caller_listener::Listen() {
  try {
    const asio::ip::tcp::endpoint local(
        asio::ip::make_address(settings_.listen.ip), settings_.listen.port);
    acceptor_.open(local.protocol());
    acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    acceptor_.bind(local);
    acceptor_.listen(kBacklog);
  } catch (const std::system_error& error) {
    return failure(listen_error{settings_.listen, error.what()});
  }
  Accept();
  return success();
}

void caller_listener::Accept() {
  acceptor_.async_accept(
      [this](std::error_code error, asio::ip::tcp::socket socket) {
        // Aborted by the destructor.
        if (error == asio::error::operation_aborted) return;
        OnAccept(error, std::move(socket));
      });
}

void caller_listener::OnAccept(std::error_code error,
                               asio::ip::tcp::socket socket) {
  if (!acceptor_.is_open()) return;
  if (error) {
    retry_timer_.expires_after(kAcceptRetryDelay);
    retry_timer_.async_wait([this](std::error_code cancelled) {
      if (!cancelled && acceptor_.is_open()) Accept();
    });
    return;
  }
  Add(std::move(socket));
  Accept();
}

void caller_listener::Add(asio::ip::tcp::socket socket) {
  // A connection beyond the limit is closed, so that its caller tries another
  // entry VM instead of waiting.
  if (connections_.size() >= settings_.max_connections && !MakeRoom()) return;
  auto connection = std::make_shared<caller_connection>(
      std::move(socket), hooks_, limits_, clock_());
  if (close_after_responses_) connection->CloseAfterResponse();
  connections_.emplace(connection.get(), connection);
  connection->Start();
}

bool caller_listener::MakeRoom() {
  const steady_time now = clock_();
  std::chrono::microseconds longest{0};
  std::shared_ptr<caller_connection> found;
  for (const auto& [key, connection] : connections_) {
    const auto stalled = connection->StalledTime(now);
    if (stalled <= longest) continue;
    longest = stalled;
    found = connection;
  }
  if (longest < memory_budget::kStallTime) return false;
  found->CloseStalled();
  return true;
}

std::vector<std::shared_ptr<caller_connection>> caller_listener::All() const {
  std::vector<std::shared_ptr<caller_connection>> all;
  all.reserve(connections_.size());
  for (const auto& [key, connection] : connections_) all.push_back(connection);
  return all;
}

void caller_listener::Tick(steady_time now) {
  if (hooks_.memory != nullptr) hooks_.memory->Tick(now);
  for (const auto& connection : All()) connection->CheckTimeouts(limits_, now);
}

void caller_listener::CloseAfterResponses() {
  close_after_responses_ = true;
  for (const auto& [key, connection] : connections_) {
    connection->CloseAfterResponse();
  }
}

/// The kernel resets the connections in the queue of an acceptor that is
/// closed.
void caller_listener::StopAccepting() {
  if (!acceptor_.is_open()) return;
  std::error_code error;
  acceptor_.non_blocking(true, error);
  for (int i = 0; i < kBacklog && !error; ++i) {
    asio::ip::tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, error);
    if (!error) Add(std::move(socket));
  }
  acceptor_.close(error);
}

void caller_listener::CloseIdle(steady_time now) {
  for (const auto& connection : All()) connection->CloseIfIdle(now);
}

void caller_listener::CloseAll() {
  for (const auto& connection : All()) connection->CloseAtEnd();
}

bool caller_listener::IsBusy(steady_time now) const {
  return std::any_of(
      connections_.begin(), connections_.end(),
      [now](const auto& entry) { return entry.second->IsBusy(now); });
}

}  // namespace marjoramsill
