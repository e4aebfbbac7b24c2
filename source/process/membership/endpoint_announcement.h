#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_ENDPOINT_ANNOUNCEMENT_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_ENDPOINT_ANNOUNCEMENT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "types/ids.h"
#include "types/result.h"

namespace marjoramsill {

/// Within one incarnation the state only advances: kLeaving is final.
enum class endpoint_state : std::uint8_t { kActive, kLeaving };

/// Numbers of requests in the engine, as reported by it.
struct endpoint_load {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;

  std::uint32_t total() const { return running + waiting; }
  friend bool operator==(const endpoint_load&, const endpoint_load&) = default;
};

/// Body of POST /v1/endpoints/announce.
struct endpoint_announcement {
  endpoint_id id;
  incarnation_number incarnation;
  /// HOST:PORT of the endpoint's HTTP server.
  std::string address;
  failure_domain_id domain;
  endpoint_state state = endpoint_state::kActive;
  /// Models and services that the endpoint serves.
  std::vector<model_id> serves;
  /// Requests that the engine runs concurrently (batching slots).
  std::uint32_t capacity = 1;
  endpoint_load load;

  friend bool operator==(const endpoint_announcement&,
                         const endpoint_announcement&) = default;
};

/// Why an announcement could not be parsed.
struct announcement_error {
  enum class reason { kTooLarge, kNotJson, kMissing, kOutOfRange };
  reason why;
  /// Invalid JSON member; empty if the document as a whole is invalid.
  std::string member;
};

inline constexpr std::size_t kMaxAnnouncementBytes = 4096;
inline constexpr std::size_t kMaxIdBytes = 64;
inline constexpr std::size_t kMaxAddressBytes = 128;
inline constexpr std::size_t kMaxServed = 32;
inline constexpr std::uint32_t kMaxCapacity = 65535;
inline constexpr std::uint32_t kMaxReportedLoad = 1000000;

/// Parses and validates the JSON body of an announcement. Unknown members are
/// ignored.
result<endpoint_announcement, announcement_error> ParseAnnouncement(
    std::string_view json);

/// Parses the value of X-Endpoint-Load, for example "running=3 waiting=1".
/// Returns empty if it is malformed.
std::optional<endpoint_load> ParseEndpointLoad(std::string_view value);
/// Parses the value of X-Endpoint-State: "active" or "leaving". Returns empty
/// for any other value.
std::optional<endpoint_state> ParseEndpointState(std::string_view value);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_ENDPOINT_ANNOUNCEMENT_H_
