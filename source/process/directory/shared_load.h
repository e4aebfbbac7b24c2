#ifndef MARJORAMSILL_PROCESS_DIRECTORY_SHARED_LOAD_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_SHARED_LOAD_H_

#include <chrono>

#include "process/directory/load_report.h"
#include "types/ids.h"
#include "types/strong_number.h"

namespace marjoramsill {

/// Stands for an endpoint's id in messages that repeat it several times a
/// second. 32 bits: two of 2,100 endpoints share one with a chance of 0.0005,
/// and then only their loads are mixed up.
using endpoint_digest = strong_number<struct endpoint_digest_tag>;

endpoint_digest DigestOf(const endpoint_id& endpoint);

/// A load report that some entry VM received from an endpoint.
struct shared_load {
  endpoint_digest endpoint;
  load_report report;
  /// Time since the endpoint's answer reached that entry VM.
  std::chrono::milliseconds age{0};

  friend bool operator==(const shared_load&, const shared_load&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_SHARED_LOAD_H_
