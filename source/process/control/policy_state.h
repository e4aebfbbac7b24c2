#ifndef MARJORAMSILL_PROCESS_CONTROL_POLICY_STATE_H_
#define MARJORAMSILL_PROCESS_CONTROL_POLICY_STATE_H_

#include <optional>
#include <string>
#include <string_view>

#include "process/control/outcome_history.h"
#include "process/control/policy_command.h"
#include "process/control/submission_outcome.h"
#include "types/result.h"
#include "version/policy_document.h"
#include "version/section_record.h"
#include "version/signing_key.h"
#include "version/team_policy.h"
#include "version/wall_time.h"
#include "version/wire_error.h"

namespace marjoramsill {

/// The replicated state machine of the control group: the accepted document,
/// the keys of the teams and the first outcomes of recent submissions.
/// Deterministic: the same commands result in the same outcomes and the same
/// snapshot bytes on every member. Not thread-safe.
class policy_state {
 public:
  struct applied {
    submission_outcome outcome;
    /// The new record if this command made the change; null otherwise.
    section_ptr change;
  };

  explicit policy_state(signature_check verify = VerifyEd25519);

  /// Applies one command. A command that cannot be decoded changes nothing.
  result<applied, wire_error> Apply(std::string_view command);

  /// The outcome that `Apply` would return now, without a change of state. The
  /// leader uses it to respond to denied and repeated submissions, so that
  /// unauthorized submitters cannot fill the log.
  submission_outcome Evaluate(const policy_command& command) const;

  std::string Snapshot() const;
  /// Replaces the state. On an error the state does not change.
  result<void, wire_error> Restore(std::string_view snapshot);

  const policy_document& document() const { return document_; }
  const team_policies& teams() const { return teams_; }
  const outcome_history& history() const { return history_; }
  /// Latest time of an applied command; it never decreases.
  wall_time latest_time() const { return latest_time_; }

 private:
  struct evaluation {
    submission_outcome outcome;
    /// Only outcomes of correctly signed submissions are recorded.
    bool signed_by_team = false;
    bool repeated = false;
    std::optional<team_policies> new_teams;
  };

  evaluation EvaluateCommand(const policy_command& command) const;
  /// An outcome with the current versions of the document and the section.
  submission_outcome MakeOutcome(outcome_kind kind,
                                 const section_name& section) const;
  denial_reason CheckSigner(const policy_command& command) const;
  denial_reason CheckTeamKeys(const team_policy& team,
                              const submission& submitted, wall_time now) const;
  bool SignedByOtherTeam(const submission& submitted,
                         const std::string& bytes) const;
  denial_reason CheckOwner(const submission& submitted) const;
  std::optional<section_error> CheckContent(
      const submission& submitted, std::optional<team_policies>& teams) const;
  std::optional<section_error> CheckRemoval(const submission& submitted) const;
  std::optional<section_error> CheckPoolName(const section_name& section) const;
  section_ptr Accept(const submission& submitted,
                     std::optional<team_policies> teams);

  signature_check verify_;
  policy_document document_;
  team_policies teams_;
  outcome_history history_;
  wall_time latest_time_{};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_POLICY_STATE_H_
