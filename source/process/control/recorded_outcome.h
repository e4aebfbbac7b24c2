#ifndef MARJORAMSILL_PROCESS_CONTROL_RECORDED_OUTCOME_H_
#define MARJORAMSILL_PROCESS_CONTROL_RECORDED_OUTCOME_H_

#include <array>
#include <cstdint>

#include "process/control/submission_outcome.h"
#include "version/submission.h"

namespace marjoramsill {

/// SHA-256 of a submission with its signature.
using content_digest = std::array<std::uint8_t, 32>;

content_digest DigestOf(const submission& value);

/// The first outcome of a submission, and the digest that tells a resend from a
/// reuse of the id.
struct recorded_outcome {
  submission_id id{};
  content_digest content{};
  submission_outcome outcome;

  friend bool operator==(const recorded_outcome&,
                         const recorded_outcome&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_RECORDED_OUTCOME_H_
