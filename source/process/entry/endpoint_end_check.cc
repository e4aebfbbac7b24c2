#include "process/entry/endpoint_end_check.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <utility>

#include "connection/endpoint_connection.h"
#include "connection/endpoint_connection_pool.h"
#include "process/daemon/steady_clock.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

/// A process that ends closes its connections and its listening socket in any
/// order; this is the time between.
constexpr milliseconds kCheckDelay{10};
/// Without an answer to the connection attempt nothing is known.
constexpr milliseconds kConnectTimeout{300};
/// Time between connection attempts while other connections are open. What had
/// arrived before the end is read, and the end noticed, in a fraction of it.
constexpr milliseconds kRetryInterval{50};
constexpr int kMaxRefusals = 6;

}  // namespace

endpoint_end_check::endpoint_end_check(asio::io_context& io,
                                       endpoint_connection_pool& connections,
                                       ended_hook on_ended)
    : io_(io), connections_(connections), on_ended_(std::move(on_ended)) {}

void endpoint_end_check::Start(const endpoint_record& endpoint,
                               const std::vector<content_digest>& suspects,
                               finding_hook done) {
  if (suspects.empty() && !done) return;
  const endpoint_run_digest run = DigestOfRun(endpoint);
  const auto [found, is_new] = open_.try_emplace(run);
  open_check& check = found->second;
  check.suspects.insert(check.suspects.end(), suspects.begin(), suspects.end());
  if (done) check.done.push_back(std::move(done));
  if (!is_new) return;
  check.endpoint = endpoint;
  ConnectAfter(kCheckDelay, run);
}

void endpoint_end_check::ConnectAfter(milliseconds delay,
                                      endpoint_run_digest run) {
  auto timer = std::make_shared<asio::steady_timer>(io_, delay);
  timer->async_wait([this, timer, run](std::error_code error) {
    if (!error) Connect(run);
  });
}

void endpoint_end_check::Connect(endpoint_run_digest run) {
  const endpoint_record& endpoint = open_[run].endpoint;
  const auto connection = connections_.Open(endpoint.id, endpoint.address);
  auto timeout = std::make_shared<asio::steady_timer>(io_, kConnectTimeout);
  timeout->async_wait([this, run, connection](std::error_code error) {
    if (error || !open_.contains(run)) return;
    connection->Close();
    Finish(run, endpoint_end_finding::kUnknown);
  });
  connection->Connect([this, run, connection, timeout](bool connected) {
    timeout->cancel();
    const auto found = open_.find(run);
    if (found == open_.end()) return;
    if (!connected) {
      OnRefused(run);
      return;
    }
    connections_.Release(found->second.endpoint.id, connection, SteadyNow());
    Finish(run, endpoint_end_finding::kAlive);
  });
}

void endpoint_end_check::OnRefused(endpoint_run_digest run) {
  open_check& check = open_[run];
  const auto open = connections_.OpenConnections(check.endpoint.id);
  if (open.empty()) {
    Finish(run, endpoint_end_finding::kEnded);
    return;
  }
  if (HasReadMore(check.marks)) {
    Finish(run, endpoint_end_finding::kAlive);
    return;
  }
  if (++check.refusals == kMaxRefusals) {
    Finish(run, endpoint_end_finding::kUnknown);
    return;
  }
  check.marks.clear();
  for (const auto& connection : open) {
    check.marks.push_back({connection, connection->bytes_read()});
  }
  ConnectAfter(kRetryInterval, run);
}

bool endpoint_end_check::HasReadMore(const std::vector<read_mark>& marks) {
  return std::any_of(marks.begin(), marks.end(), [](const read_mark& mark) {
    const auto connection = mark.connection.lock();
    return connection && connection->is_open() &&
           connection->bytes_read() > mark.bytes_read;
  });
}

void endpoint_end_check::Finish(endpoint_run_digest run,
                                endpoint_end_finding finding) {
  const open_check check = std::move(open_.extract(run).mapped());
  if (finding == endpoint_end_finding::kEnded && !check.suspects.empty()) {
    on_ended_(check.endpoint, check.suspects);
  }
  for (const finding_hook& done : check.done) done(finding);
}

}  // namespace marjoramsill
