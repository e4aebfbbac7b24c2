#ifndef MARJORAMSILL_PROCESS_DIRECTORY_SHARED_LOAD_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_SHARED_LOAD_H_

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>

#include "process/directory/duration_sample.h"
#include "process/directory/load_report.h"
#include "types/ids.h"
#include "types/strong_number.h"

namespace marjoramsill {

/// 32-bit hash of an endpoint's id, used in messages that repeat the id several
/// times a second. The probability that two of 2,100 endpoints have the same
/// hash is 0.0005, and a collision only mixes up their loads.
using endpoint_digest = strong_number<struct endpoint_digest_tag>;

endpoint_digest DigestOf(const endpoint_id& endpoint);

/// Refusals that an endpoint survives if it does not limit them.
inline constexpr std::uint32_t kUnlimitedRefusals =
    std::numeric_limits<std::uint32_t>::max();

/// What some entry VM learned from an endpoint's response: its load, and the
/// limits of its request rate and of its refusals.
struct shared_load {
  endpoint_digest endpoint;
  /// Without slots if the endpoint does not report its load.
  load_report report;
  /// Time since that entry VM received the endpoint's response.
  std::chrono::milliseconds age{0};
  /// Requests per second that the endpoint takes from all entry VMs together.
  std::optional<double> limit = std::nullopt;
  /// Refusals for want of room in one second that the endpoint survives;
  /// nothing if that entry VM does not know.
  std::optional<std::uint32_t> refusal_limit = std::nullopt;
  /// Durations of work that it measured there; nothing in pools that estimate
  /// no speed.
  std::optional<duration_sample> sample = std::nullopt;

  friend bool operator==(const shared_load&, const shared_load&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_SHARED_LOAD_H_
