#ifndef MARJORAMSILL_PROCESS_CONTROL_SUBMISSION_OUTCOME_H_
#define MARJORAMSILL_PROCESS_CONTROL_SUBMISSION_OUTCOME_H_

#include <string>
#include <string_view>

#include "types/ids.h"
#include "types/result.h"
#include "version/section_error.h"
#include "version/wire_error.h"

namespace marjoramsill {

enum class outcome_kind {
  kAccepted,
  /// The section has another version than the submission's base.
  kConflict,
  kDenied,
  kInvalid,
  /// The id was used before with different content.
  kDuplicateId,
  /// No quorum. Reported by the daemon, never by the state machine.
  kUnavailable
};

enum class denial_reason {
  kNone,
  kUnknownTeam,
  kNotOwner,
  kOtherTeamsKey,
  kExpiredKey,
  kBadSignature
};

std::string_view OutcomeKindName(outcome_kind kind);
std::string_view DenialReasonName(denial_reason reason);

struct submission_outcome {
  outcome_kind kind = outcome_kind::kUnavailable;
  /// Accepted: the version that the submission made. Else: the current one.
  document_version document;
  /// Accepted: the new version of the section. Conflict: its current one.
  section_version section;
  denial_reason reason = denial_reason::kNone;
  /// Conflict: lines of the current content (-) and of the submission (+).
  std::string difference;
  /// Invalid: where and why.
  section_error error;

  friend bool operator==(const submission_outcome&,
                         const submission_outcome&) = default;
};

std::string EncodeOutcome(const submission_outcome& outcome);
result<submission_outcome, wire_error> DecodeOutcome(std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_SUBMISSION_OUTCOME_H_
