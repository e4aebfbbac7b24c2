#ifndef MARJORAMSILL_EXAMPLES_FAKE_ENDPOINT_FAKE_ENDPOINT_H_
#define MARJORAMSILL_EXAMPLES_FAKE_ENDPOINT_FAKE_ENDPOINT_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "connection/endpoint_client.h"
#include "connection/http_server.h"
#include "fake_endpoint/fake_model.h"
#include "fake_endpoint/fake_prefix_cache.h"
#include "fake_endpoint/fake_settings.h"

namespace marjoramsill {

class http_responder;

/// Simulates a model engine or a service for tests: streams words, caches
/// prefixes, reports load with a delay, resumes streams, accepts orders, and
/// counts how often each idempotency key ran. Not thread-safe.
class fake_endpoint {
 public:
  fake_endpoint(asio::io_context& io, fake_settings settings);
  ~fake_endpoint();
  fake_endpoint(const fake_endpoint&) = delete;
  fake_endpoint& operator=(const fake_endpoint&) = delete;

  result<void, listen_error> Start();
  /// Announces that the endpoint is leaving; requests are still served.
  void Leave();
  std::size_t running() const { return running_; }

 private:
  /// A stream that can be resumed.
  struct stream;

  void Handle(const http_request& request,
              const std::shared_ptr<http_responder>& responder);
  void HandleChat(const http_request& request,
                  const std::shared_ptr<http_responder>& responder);
  void HandleService(const http_request& request,
                     const std::shared_ptr<http_responder>& responder);
  void HandleOrder(const http_request& request,
                   const std::shared_ptr<http_responder>& responder);
  void HandleHealth(const std::shared_ptr<http_responder>& responder);
  void HandleRuns(const std::shared_ptr<http_responder>& responder);
  void BeginResponse(const std::shared_ptr<stream>& current,
                     std::chrono::milliseconds delay);
  void SendWord(const std::shared_ptr<stream>& current);
  void SendCompleteResponse(const std::shared_ptr<stream>& current);
  void End(const std::shared_ptr<stream>& current);
  http_field_list ResponseFields(const std::string& attempt) const;
  void Announce();
  void SampleLoad();

  asio::io_context& io_;
  const fake_settings settings_;
  const std::uint64_t incarnation_;
  http_server server_;
  endpoint_client client_;
  asio::steady_timer announce_timer_;
  asio::steady_timer load_timer_;
  fake_prefix_cache cache_;
  std::map<std::string, std::shared_ptr<stream>> streams_;
  std::map<std::string, std::uint32_t> runs_;
  std::size_t running_ = 0;
  std::size_t reported_running_ = 0;
  std::size_t next_announce_ = 0;
  std::uint32_t streams_started_ = 0;
  std::uint64_t highest_fencing_ = 0;
  bool leaving_ = false;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_EXAMPLES_FAKE_ENDPOINT_FAKE_ENDPOINT_H_
