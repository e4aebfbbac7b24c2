#ifndef MARJORAMSILL_PROCESS_DIRECTORY_ENDPOINT_RECORD_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_ENDPOINT_RECORD_H_

#include <cstdint>
#include <string>

#include "process/directory/endpoint_phase.h"
#include "types/ids.h"

namespace marjoramsill {

/// The state of an endpoint, as it announces it in heartbeats.
struct endpoint_record {
  endpoint_id id;
  model_id pool;
  /// IP:PORT.
  std::string address;
  failure_domain_id domain;
  /// Version of the endpoint's software; empty if unknown: two records without
  /// one need not be of the same version. Not the version of a model.
  std::string software;
  /// Requests that the endpoint runs at the same time; 0 if not announced.
  std::uint32_t slots = 0;
  endpoint_phase phase = endpoint_phase::kReady;
  /// Start of this incarnation of the endpoint in Unix milliseconds, by
  /// the endpoint's clock.
  incarnation_number incarnation;
  /// Number of the heartbeat within this incarnation.
  std::uint64_t sequence = 0;
  /// Remaining warm-up time in milliseconds, during which the endpoint is slow:
  /// after the heartbeat in a record that an endpoint sent, after sending in a
  /// record that another process sent.
  std::uint32_t cold_ms = 0;

  friend bool operator==(const endpoint_record&,
                         const endpoint_record&) = default;
};

/// True if the endpoint sent `a` after `b`. Both must be records of the same
/// endpoint.
inline bool IsNewer(const endpoint_record& a, const endpoint_record& b) {
  if (a.incarnation != b.incarnation) return a.incarnation > b.incarnation;
  return a.sequence > b.sequence;
}

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_ENDPOINT_RECORD_H_
