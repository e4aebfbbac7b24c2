#ifndef MARJORAMSILL_POLICY_OPERATOR_FIXTURE_H_
#define MARJORAMSILL_POLICY_OPERATOR_FIXTURE_H_

#include <cstdint>
#include <string>

#include "process/control/policy_command.h"
#include "process/control/policy_state.h"
#include "version/submission.h"

namespace marjoramsill {

/// Signs and applies submissions of the teams `root`, `clubs` (owner of
/// workspaces/) and `models` (owner of models/ and services/).
class operator_fixture {
 public:
  /// The secret key whose bytes are all `number`.
  static secret_key Key(std::uint8_t number);
  /// The `number` of the key of a team.
  static std::uint8_t KeyNumber(const std::string& team);
  static std::string RootBytes();
  static std::string Limits(std::uint64_t tokens_per_second);

  submission Make(const std::string& team, const std::string& section,
                  std::uint64_t base, const std::string& bytes);
  /// The same submission, signed with another key than that of the team.
  submission MakeSignedBy(std::uint8_t key, submission unsigned_submission);
  policy_command Stamp(const submission& submitted) const;
  submission_outcome Submit(policy_state& state, const submission& submitted);
  submission_outcome Bootstrap(policy_state& state);

  /// Time in the commands that `Stamp` returns.
  wall_time now = *ParseWallTime("2026-12-01T00:00:00Z");

 private:
  std::uint8_t next_id_ = 0;
  std::uint8_t id_block_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_POLICY_OPERATOR_FIXTURE_H_
