#ifndef MARJORAMSILL_PROCESS_DIRECTORY_DOCUMENT_PROOF_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_DOCUMENT_PROOF_H_

#include <chrono>

#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// What this process knows about the newest acknowledged routing document. A
/// document counts as current for a limited time after the leader of the
/// control group has confirmed that there is no newer one. The times are of a
/// clock that goes on while the process is suspended.
class document_proof {
 public:
  /// `max_age`: time within which an acknowledged document must be in force.
  explicit document_proof(std::chrono::milliseconds max_age);

  /// No document newer than `newest` had been acknowledged by `as_of`.
  void Confirm(document_version newest, steady_time as_of);
  /// True if every document that was acknowledged more than the maximum age ago
  /// has at most the version `held`.
  bool IsCurrent(document_version held, steady_time now) const;

  document_version newest() const { return newest_; }

 private:
  const std::chrono::milliseconds max_age_;
  document_version newest_;
  bool is_confirmed_ = false;
  steady_time as_of_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_DOCUMENT_PROOF_H_
