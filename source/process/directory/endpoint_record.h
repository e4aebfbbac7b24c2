#ifndef MARJORAMSILL_PROCESS_DIRECTORY_ENDPOINT_RECORD_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_ENDPOINT_RECORD_H_

#include <cstdint>
#include <string>

#include "process/directory/endpoint_phase.h"
#include "types/ids.h"

namespace marjoramsill {

/// What an endpoint has said of itself.
struct endpoint_record {
  endpoint_id id;
  model_id pool;
  /// IP:PORT.
  std::string address;
  failure_domain_id domain;
  std::uint32_t slots = 0;
  endpoint_phase phase = endpoint_phase::kReady;
  /// Start of this life of the endpoint in Unix milliseconds, by its clock.
  incarnation born;
  /// Number of the heartbeat within this life.
  std::uint64_t sequence = 0;
  /// It stays slow for this long after the heartbeat, in milliseconds.
  std::uint32_t cold_ms = 0;

  friend bool operator==(const endpoint_record&,
                         const endpoint_record&) = default;
};

/// True if `a` was said after `b` by the same endpoint.
inline bool IsNewer(const endpoint_record& a, const endpoint_record& b) {
  if (a.born != b.born) return a.born > b.born;
  return a.sequence > b.sequence;
}

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_ENDPOINT_RECORD_H_
