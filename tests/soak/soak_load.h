#ifndef MARJORAMSILL_TESTS_SOAK_SOAK_LOAD_H_
#define MARJORAMSILL_TESTS_SOAK_SOAK_LOAD_H_

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "connection/socket_address.h"
#include "http_call.h"
#include "soak_fleet.h"

namespace marjoramsill::soak {

/// Prefix of the ids of requests that may run at most once.
inline constexpr const char* kOncePrefix = "once-";

/// Prompt part that crashes endpoints.
inline constexpr const char* kCrashingPart = "c0de";

/// Target of a look-up that crashes endpoints.
inline constexpr const char* kCrashingTarget = "/look/crashing";

/// Simulates the callers and the operator of a soak test and verifies the
/// responses.
class soak_load {
 public:
  soak_load(asio::io_context& io, soak_fleet& fleet, run_ledger& ledger,
            std::uint64_t seed);

  /// Sends one request of a random kind to a random entry process.
  void SendRequest();
  /// Sends a request with a prompt to a random entry process; every twelfth one
  /// has a part that crashes endpoints.
  void SendPrompt();
  /// Sends the look-up that crashes endpoints to a random entry process.
  void SendCrashing();
  /// Sends a heartbeat that describes no usable endpoint to a random control
  /// process, which must refuse it.
  void SendOddEntry();
  /// Submits the next version of the document to random control processes until
  /// one acknowledges it. Does nothing while a submission is in progress.
  void SubmitDocument();
  /// Reads the document from a random control process. A version older than one
  /// that was acknowledged before the read is a violation.
  void ReadDocument();

  std::uint64_t acknowledged() const { return acknowledged_; }
  int sent() const { return sent_; }
  int served() const { return served_; }
  /// Broken streams that went on when they were taken up again.
  int resumed() const { return resumed_; }
  /// The routing document of a version, as JSON.
  /// `cold_per_s`: requests per second that a cold endpoint takes, if limited.
  static std::string Document(std::uint64_t version,
                              std::optional<double> cold_per_s = std::nullopt);

 private:
  using time_point = std::chrono::steady_clock::time_point;

  void CheckResponse(const std::string& request, bool is_stream, bool is_once,
                     const std::optional<http_response>& response);
  void ResumeStream(const std::string& stream, time_point deadline);
  void Submit(std::uint64_t version);
  socket_address RandomControl();

  asio::io_context& io_;
  soak_fleet& fleet_;
  run_ledger& ledger_;
  std::mt19937_64 random_;
  std::uint64_t next_request_ = 0;
  std::uint64_t next_prompt_ = 0;
  std::uint64_t next_crashing_ = 0;
  std::uint64_t next_version_ = 1;
  std::uint64_t acknowledged_ = 0;
  bool is_submitting_ = false;
  int sent_ = 0;
  int served_ = 0;
  int resumed_ = 0;
};

}  // namespace marjoramsill::soak

#endif  // MARJORAMSILL_TESTS_SOAK_SOAK_LOAD_H_
