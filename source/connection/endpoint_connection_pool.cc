#include "connection/endpoint_connection_pool.h"

#include <algorithm>
#include <utility>

namespace marjoramsill {
namespace {

/// Percentage of an endpoint's idle limit up to which a connection is reused.
/// The margin covers the time that the request needs to reach the endpoint.
constexpr int kReusePercent = 80;
constexpr int kFreshPercent = 50;

bool IsWithin(const endpoint_connection& connection, int percent,
              steady_time now) {
  const auto idle = now - connection.idle_since();
  return idle * 100 < connection.idle_limit() * percent;
}

}  // namespace

endpoint_connection_pool::endpoint_connection_pool(asio::io_context& io,
                                                   std::string source)
    : io_(io), source_(std::move(source)) {}

endpoint_connection_pool::~endpoint_connection_pool() {
  for (auto& [endpoint, idle] : idle_) {
    for (const auto& connection : idle) connection->Close();
  }
}

std::shared_ptr<endpoint_connection> endpoint_connection_pool::TakeIdle(
    const endpoint_id& endpoint, bool must_be_fresh, steady_time now) {
  const auto found = idle_.find(endpoint);
  if (found == idle_.end()) return nullptr;
  idle_list& idle = found->second;
  while (!idle.empty()) {
    std::shared_ptr<endpoint_connection> newest = idle.back();
    const int percent = must_be_fresh ? kFreshPercent : kReusePercent;
    // The other connections have been idle for longer.
    if (!IsWithin(*newest, percent, now)) return nullptr;
    idle.pop_back();
    if (newest->CheckIdle()) return newest;
  }
  return nullptr;
}

std::shared_ptr<endpoint_connection> endpoint_connection_pool::Open(
    const endpoint_id& endpoint, const std::string& address) {
  ++opened_;
  auto connection = std::make_shared<endpoint_connection>(
      io_, ParseSocketAddress(address).value_or(socket_address{}),
      [this, endpoint](endpoint_connection& ended) {
        RemoveIdle(endpoint, ended);
      });
  connection->SetSource(source_);
  auto& all = all_[endpoint];
  std::erase_if(all, [](const auto& each) { return each.expired(); });
  all.push_back(connection);
  return connection;
}

std::vector<std::shared_ptr<endpoint_connection>>
endpoint_connection_pool::OpenConnections(const endpoint_id& endpoint) const {
  std::vector<std::shared_ptr<endpoint_connection>> open;
  const auto found = all_.find(endpoint);
  if (found == all_.end()) return open;
  for (const auto& each : found->second) {
    auto connection = each.lock();
    if (connection && connection->is_open()) {
      open.push_back(std::move(connection));
    }
  }
  return open;
}

void endpoint_connection_pool::Release(
    const endpoint_id& endpoint,
    std::shared_ptr<endpoint_connection> connection, steady_time now) {
  if (!connection->IsReusable() || connection->idle_limit().count() == 0) {
    connection->Close();
    return;
  }
  // A connection of a probe, which has carried no request, was opened just now.
  if (connection->opened_at() == steady_time()) connection->set_opened_at(now);
  connection->set_idle_since(now);
  idle_[endpoint].push_back(std::move(connection));
}

void endpoint_connection_pool::Drop(const endpoint_id& endpoint) {
  const auto found = idle_.find(endpoint);
  if (found == idle_.end()) return;
  for (const auto& connection : found->second) connection->Close();
  idle_.erase(found);
}

void endpoint_connection_pool::Expire(steady_time now) {
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::erase_if(it->second, [now](const auto& connection) {
      if (IsWithin(*connection, kReusePercent, now)) return false;
      connection->Close();
      return true;
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
  for (auto it = all_.begin(); it != all_.end();) {
    std::erase_if(it->second, [](const auto& each) { return each.expired(); });
    it = it->second.empty() ? all_.erase(it) : std::next(it);
  }
}

void endpoint_connection_pool::RemoveIdle(const endpoint_id& endpoint,
                                          endpoint_connection& ended) {
  const auto found = idle_.find(endpoint);
  if (found == idle_.end()) return;
  const std::size_t removed = std::erase_if(
      found->second,
      [&ended](const auto& connection) { return connection.get() == &ended; });
  if (removed > 0) on_idle_end_(endpoint);
}

}  // namespace marjoramsill
