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
  /// The version of the section differs from the base of the submission.
  kConflict,
  kDenied,
  kInvalid,
  /// An earlier submission with other content has the same id.
  kDuplicateId,
  /// No quorum. Set by the daemon, never by the state machine.
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

/// The result of a submission.
struct submission_outcome {
  outcome_kind kind = outcome_kind::kUnavailable;
  /// Accepted: the version after the change. Otherwise: the current version.
  document_version document;
  /// Accepted: the new version of the section. Conflict: its current version.
  section_version section;
  denial_reason reason = denial_reason::kNone;
  /// Conflict: lines of the current content (-) and of the submission (+).
  std::string difference;
  /// Invalid: the place and the reason.
  section_error error;

  friend bool operator==(const submission_outcome&,
                         const submission_outcome&) = default;
};

std::string EncodeOutcome(const submission_outcome& outcome);
result<submission_outcome, wire_error> DecodeOutcome(std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_SUBMISSION_OUTCOME_H_
