#ifndef MARJORAMSILL_TESTS_DIRECTORY_SOFTWARE_WATCH_MODEL_H_
#define MARJORAMSILL_TESTS_DIRECTORY_SOFTWARE_WATCH_MODEL_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "process/directory/endpoint_record.h"
#include "process/directory/stream_origin.h"
#include "process/directory/watch_request.h"
#include "process/directory/watch_response.h"
#include "types/steady_time.h"

namespace marjoramsill {

class endpoint_directory;
class pool_table;
class watch_hub;

/// One pool whose endpoints send heartbeats to one control process, which an
/// entry process watches, in virtual time. Keeps the whole history of the
/// pool's software to compare with what the entry process knows of it.
class software_watch_model {
 public:
  /// Time limit of the streams.
  static constexpr std::chrono::milliseconds kPeriod{12'000};

  software_watch_model();
  ~software_watch_model();

  /// An endpoint starts, in place of the one that has the id.
  void Start(const std::string& id, const std::string& software);
  /// The endpoint sends its end; a control process may not know it.
  void SignOff(const std::string& id);
  /// The endpoint sends nothing any more.
  void Crash(const std::string& id);
  /// Without connection the entry process sends no watch requests.
  void SetConnected(bool is_connected);
  /// The entry process loses all that it knows.
  void RestartEntry();
  /// The control process loses all that it knows.
  void RestartControl();
  void RunFor(std::chrono::milliseconds duration);

  /// As the entry process knows it, if its records are those of the control
  /// process.
  std::optional<software_digest> OnlySoftware() const;
  /// No other software than OnlySoftware() has served within the period.
  bool IsOnlySoftwareTrue() const;

 private:
  /// Requests that are open get no answer.
  void Disconnect();
  void Heartbeat(endpoint_record& record);
  void Watch();
  watch_request Request() const;
  void OnResponse(const watch_response& response);
  /// Notes the software of the endpoints that run now.
  void RecordRunning();

  steady_time now_{std::chrono::seconds(1)};
  std::uint64_t epoch_ = 0;
  std::uint64_t starts_ = 0;
  std::unique_ptr<endpoint_directory> directory_;
  std::unique_ptr<watch_hub> hub_;
  std::unique_ptr<pool_table> pools_;
  bool is_connected_ = true;
  /// A response to a request of an earlier connection is lost.
  std::uint64_t connection_ = 0;
  bool has_request_ = false;
  steady_time request_sent_;
  /// Response that has arrived and is not applied yet.
  std::optional<watch_response> answer_;
  /// State of the watch, as control_watcher keeps it.
  std::uint64_t known_epoch_ = 0;
  /// Run of the control process that has said for how long it knows endpoints.
  std::uint64_t confirmed_epoch_ = 0;
  std::uint64_t applied_change_ = 0;
  std::uint64_t applied_ending_ = 0;
  /// Endpoints that run, with their last heartbeats.
  std::map<std::string, endpoint_record> running_;
  std::map<std::string, steady_time> next_heartbeat_;
  /// When an endpoint with the software ran last.
  std::map<software_digest, steady_time> last_run_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_DIRECTORY_SOFTWARE_WATCH_MODEL_H_
