#include "process/control/policy_state.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "version/line_difference.h"
#include "version/section_kind.h"
#include "version/section_parser.h"
#include "version/text_check.h"

namespace marjoramsill {
namespace {

const section_name& RootSection() {
  static const section_name name("teams/root");
  return name;
}

const team_id& RootTeam() {
  static const team_id name("root");
  return name;
}

// The search for the team of a key only makes the denial reason more precise.
// Each key takes about 0.1 ms, so the limit bounds the cost of unauthorized
// submissions.
constexpr std::size_t kMaxKeysTried = 64;

}  // namespace

policy_state::policy_state(signature_check verify)
    : verify_(std::move(verify)) {}

submission_outcome policy_state::MakeOutcome(
    outcome_kind kind, const section_name& section) const {
  submission_outcome outcome;
  outcome.kind = kind;
  outcome.document = document_.version();
  const section_ptr record = document_.Find(section);
  if (record != nullptr) outcome.section = record->version;
  return outcome;
}

bool policy_state::SignedByOtherTeam(const submission& submitted,
                                     const std::string& bytes) const {
  std::size_t tried = 0;
  for (const team_policy& team : teams_) {
    if (team.name == submitted.team) continue;
    for (const team_key& key : team.keys) {
      if (++tried > kMaxKeysTried) return false;
      if (verify_(key.key, bytes, submitted.signed_with)) return true;
    }
  }
  return false;
}

denial_reason policy_state::CheckTeamKeys(const team_policy& team,
                                          const submission& submitted,
                                          wall_time now) const {
  const std::string bytes = SignedBytes(submitted);
  bool expired = false;
  for (const team_key& key : team.keys) {
    if (!verify_(key.key, bytes, submitted.signed_with)) continue;
    if (now <= key.not_after) return denial_reason::kNone;
    expired = true;
  }
  if (expired) return denial_reason::kExpiredKey;
  return SignedByOtherTeam(submitted, bytes) ? denial_reason::kOtherTeamsKey
                                             : denial_reason::kBadSignature;
}

denial_reason policy_state::CheckSigner(const policy_command& command) const {
  const submission& submitted = command.submitted;
  if (submitted.team != RootTeam()) {
    const team_policy* team = FindTeam(teams_, submitted.team);
    if (team == nullptr) return denial_reason::kUnknownTeam;
    return CheckTeamKeys(*team, submitted,
                         std::max(latest_time_, command.stamped));
  }
  const std::string bytes = SignedBytes(submitted);
  if (verify_(command.root_key, bytes, submitted.signed_with)) {
    return denial_reason::kNone;
  }
  return SignedByOtherTeam(submitted, bytes) ? denial_reason::kOtherTeamsKey
                                             : denial_reason::kBadSignature;
}

denial_reason policy_state::CheckOwner(const submission& submitted) const {
  const bool root = submitted.team == RootTeam();
  if (root != (submitted.section == RootSection())) {
    return denial_reason::kNotOwner;
  }
  if (root) return denial_reason::kNone;
  const team_policy* owner = FindOwner(teams_, submitted.section);
  return owner != nullptr && owner->name == submitted.team
             ? denial_reason::kNone
             : denial_reason::kNotOwner;
}

std::optional<section_error> policy_state::CheckRemoval(
    const submission& submitted) const {
  const auto kind = KindOf(submitted.section);
  const section_ptr record = document_.Find(submitted.section);
  const bool removable =
      kind != section_kind::kTeams && kind != section_kind::kRanks;
  if (removable && record != nullptr && !record->bytes.empty()) {
    return std::nullopt;
  }
  return section_error{submitted.section, 0, "", "empty content",
                       removable ? "empty content only to remove a section"
                                 : "the section's content"};
}

// models/x and services/x would refer to the same pool.
std::optional<section_error> policy_state::CheckPoolName(
    const section_name& section) const {
  const auto kind = KindOf(section);
  std::string other;
  if (kind == section_kind::kModels) other = "services/";
  if (kind == section_kind::kServices) other = "models/";
  if (other.empty()) return std::nullopt;
  other += NameInKind(section);
  const section_ptr record = document_.Find(section_name(other));
  if (record == nullptr || record->bytes.empty()) return std::nullopt;
  return section_error{section, 0, "", "a name that " + other + " has",
                       "a name that is unique among models and services"};
}

std::optional<section_error> policy_state::CheckContent(
    const submission& submitted, std::optional<team_policies>& teams) const {
  if (submitted.bytes.empty()) return CheckRemoval(submitted);
  if (auto error = CheckPoolName(submitted.section)) return error;
  auto parsed = ParseSection(submitted.section, submitted.bytes);
  if (!parsed) return parsed.error();
  if (auto* read = std::get_if<team_policies>(&parsed.value())) {
    teams = std::move(*read);
  }
  return std::nullopt;
}

policy_state::evaluation policy_state::EvaluateCommand(
    const policy_command& command) const {
  const submission& submitted = command.submitted;
  evaluation evaluated;
  if (const recorded_outcome* first = history_.Find(submitted.id)) {
    evaluated.repeated = true;
    evaluated.outcome =
        first->content == DigestOf(submitted)
            ? first->outcome
            : MakeOutcome(outcome_kind::kDuplicateId, submitted.section);
    return evaluated;
  }
  denial_reason reason = CheckSigner(command);
  evaluated.signed_by_team = reason == denial_reason::kNone;
  const bool named = KindOf(submitted.section).has_value();
  if (evaluated.signed_by_team && named) reason = CheckOwner(submitted);
  if (reason != denial_reason::kNone) {
    evaluated.outcome = MakeOutcome(outcome_kind::kDenied, submitted.section);
    evaluated.outcome.reason = reason;
    return evaluated;
  }
  evaluated.outcome = MakeOutcome(outcome_kind::kConflict, submitted.section);
  if (evaluated.outcome.section != submitted.base) {
    const section_ptr record = document_.Find(submitted.section);
    // Submissions that are not valid text get no difference.
    if (!FirstInvalidByte(submitted.bytes)) {
      evaluated.outcome.difference = LineDifference(
          record == nullptr ? std::string() : record->bytes, submitted.bytes);
    }
    return evaluated;
  }
  if (auto error = CheckContent(submitted, evaluated.new_teams)) {
    evaluated.outcome.kind = outcome_kind::kInvalid;
    evaluated.outcome.error = std::move(*error);
    return evaluated;
  }
  evaluated.outcome.kind = outcome_kind::kAccepted;
  evaluated.outcome.document = document_.version().Next();
  evaluated.outcome.section =
      section_version(evaluated.outcome.document.value());
  return evaluated;
}

submission_outcome policy_state::Evaluate(const policy_command& command) const {
  return EvaluateCommand(command).outcome;
}

section_ptr policy_state::Accept(const submission& submitted,
                                 std::optional<team_policies> teams) {
  document_.set_version(document_.version().Next());
  auto record = std::make_shared<const section_record>(section_record{
      submitted.section, section_version(document_.version().value()),
      submitted.team, submitted.bytes});
  document_.Put(record);
  if (teams) teams_ = std::move(*teams);
  return record;
}

result<policy_state::applied, wire_error> policy_state::Apply(
    std::string_view command) {
  auto decoded = DecodeCommand(command);
  if (!decoded) return failure(decoded.error());
  const submission& submitted = decoded.value().submitted;
  evaluation evaluated = EvaluateCommand(decoded.value());
  latest_time_ = std::max(latest_time_, decoded.value().stamped);
  applied done{std::move(evaluated.outcome), nullptr};
  if (evaluated.repeated || !evaluated.signed_by_team) return done;
  if (done.outcome.kind == outcome_kind::kAccepted) {
    done.change = Accept(submitted, std::move(evaluated.new_teams));
  }
  history_.Add({submitted.id, DigestOf(submitted), done.outcome});
  return done;
}

}  // namespace marjoramsill
