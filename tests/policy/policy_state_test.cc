#include "process/control/policy_state.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

#include "operator_fixture.h"

namespace marjoramsill {
namespace {

const std::string kClub = "workspaces/club";

}  // namespace

class policy_state_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(policy_state_test);
  CPPUNIT_TEST(bootstrap_only_root_key_may_start_the_document);
  CPPUNIT_TEST(submission_of_wrong_signer_is_denied_with_reason);
  CPPUNIT_TEST(submission_after_key_expiry_is_denied_even_if_clock_goes_back);
  CPPUNIT_TEST(race_with_equal_base_has_one_winner);
  CPPUNIT_TEST(resend_returns_first_outcome_and_changes_nothing);
  CPPUNIT_TEST(resend_after_outcome_is_removed_changes_nothing);
  CPPUNIT_TEST(content_invalid_or_colliding_is_rejected);
  CPPUNIT_TEST(snapshot_restores_the_same_state_and_decisions);
  CPPUNIT_TEST(schedule_limits_change_only_by_accepted_submissions);
  CPPUNIT_TEST(decoders_damaged_bytes_give_typed_errors);
  CPPUNIT_TEST_SUITE_END();

  operator_fixture operators_;
  policy_state state_;

  submission_outcome Submit(const submission& submitted) {
    return operators_.Submit(state_, submitted);
  }

  void Denies(const submission& submitted, denial_reason reason) {
    const submission_outcome outcome = Submit(submitted);
    CPPUNIT_ASSERT(outcome.kind == outcome_kind::kDenied);
    CPPUNIT_ASSERT_EQUAL(std::string(DenialReasonName(reason)),
                         std::string(DenialReasonName(outcome.reason)));
  }

  void Accepts(const submission& submitted) {
    const submission_outcome outcome = Submit(submitted);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Describe(outcome.error) + outcome.difference,
                                 std::string("accepted"),
                                 std::string(OutcomeKindName(outcome.kind)));
  }

 public:
  // Guards against a fleet without a document that accepts submissions without
  // the root key.
  void bootstrap_only_root_key_may_start_the_document() {
    Denies(operators_.Make("clubs", kClub, 0, operators_.Limits(1)),
           denial_reason::kUnknownTeam);
    Denies(operators_.Make("root", kClub, 0, operators_.Limits(1)),
           denial_reason::kNotOwner);
    const submission root =
        operators_.Make("root", "teams/root", 0, operators_.RootBytes());
    Denies(operators_.MakeSignedBy(9, root), denial_reason::kBadSignature);
    Accepts(root);
    CPPUNIT_ASSERT_EQUAL(operators_.RootBytes(),
                         state_.document().Find(root.section)->bytes);
  }

  // Guards against a change of one team's section by another team.
  void submission_of_wrong_signer_is_denied_with_reason() {
    operators_.Bootstrap(state_);
    const submission valid =
        operators_.Make("clubs", kClub, 0, operators_.Limits(1));
    Denies(operators_.MakeSignedBy(3, valid), denial_reason::kOtherTeamsKey);
    Denies(operators_.MakeSignedBy(9, valid), denial_reason::kBadSignature);
    Denies(operators_.Make("models", kClub, 0, operators_.Limits(1)),
           denial_reason::kNotOwner);
    Denies(operators_.Make("clubs", "teams/root", 1, operators_.RootBytes()),
           denial_reason::kNotOwner);
    submission changed = valid;
    changed.bytes = operators_.Limits(2);
    Denies(changed, denial_reason::kBadSignature);
    changed = valid;
    changed.base = section_version(7);
    Denies(changed, denial_reason::kBadSignature);
    // A denial must not occupy the id of the team's own submission.
    Accepts(valid);
  }

  // Guards against an expired key that is accepted again after a leader change
  // to a member whose clock is behind.
  void submission_after_key_expiry_is_denied_even_if_clock_goes_back() {
    operators_.Bootstrap(state_);
    operators_.now = *ParseWallTime("2026-12-31T00:00:00Z");
    Accepts(operators_.Make("clubs", kClub, 0, operators_.Limits(1)));
    operators_.now += std::chrono::milliseconds(1);
    Denies(operators_.Make("clubs", kClub, 2, operators_.Limits(2)),
           denial_reason::kExpiredKey);
    operators_.now -= std::chrono::hours(1);
    Denies(operators_.Make("clubs", kClub, 2, operators_.Limits(2)),
           denial_reason::kExpiredKey);
  }

  // Guards against a lost update, and against a conflict that does not show the
  // change of the other operator.
  void race_with_equal_base_has_one_winner() {
    operators_.Bootstrap(state_);
    Accepts(operators_.Make("clubs", kClub, 0, operators_.Limits(10)));
    const auto first =
        operators_.Make("clubs", kClub, 2, operators_.Limits(20));
    const auto second =
        operators_.Make("clubs", kClub, 2, operators_.Limits(30));
    Accepts(first);
    const submission_outcome conflict = Submit(second);
    CPPUNIT_ASSERT(conflict.kind == outcome_kind::kConflict);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, conflict.section.value());
    CPPUNIT_ASSERT_EQUAL(
        std::string("-1: tokens_per_second: 20\n+1: tokens_per_second: 30\n"),
        conflict.difference);
    CPPUNIT_ASSERT_EQUAL(operators_.Limits(20),
                         state_.document().Find(first.section)->bytes);
  }

  // Guards against a resend after a lost response that reverts a limit which
  // was raised in between, and against the reuse of an id.
  void resend_returns_first_outcome_and_changes_nothing() {
    operators_.Bootstrap(state_);
    const auto first =
        operators_.Make("clubs", kClub, 0, operators_.Limits(10));
    const submission_outcome outcome = Submit(first);
    Accepts(operators_.Make("clubs", kClub, 2, operators_.Limits(90)));
    operators_.now = *ParseWallTime("2027-06-01T00:00:00Z");
    CPPUNIT_ASSERT(Submit(first) == outcome);
    submission other = first;
    other.bytes = operators_.Limits(11);
    const submission_outcome reused = Submit(operators_.MakeSignedBy(2, other));
    CPPUNIT_ASSERT(reused.kind == outcome_kind::kDuplicateId);
    CPPUNIT_ASSERT_EQUAL(operators_.Limits(90),
                         state_.document().Find(first.section)->bytes);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, state_.document().version().value());
  }

  // Guards against a resend that is applied again after its outcome was removed
  // from the history.
  void resend_after_outcome_is_removed_changes_nothing() {
    state_ = policy_state([](const public_key&, std::string_view,
                             const signature&) { return true; });
    operators_.Bootstrap(state_);
    const auto first =
        operators_.Make("clubs", kClub, 0, operators_.Limits(10));
    Accepts(first);
    for (std::size_t i = 0; i < outcome_history::kMaxOutcomes; ++i) {
      Submit(operators_.Make("clubs", kClub, 2 + i, operators_.Limits(99)));
    }
    CPPUNIT_ASSERT(state_.history().Find(first.id) == nullptr);
    CPPUNIT_ASSERT(Submit(first).kind == outcome_kind::kConflict);
    CPPUNIT_ASSERT_EQUAL(operators_.Limits(99),
                         state_.document().Find(first.section)->bytes);
  }

  // Guards against accepted content that no follower can compile, and against a
  // model and a service with the same name.
  void content_invalid_or_colliding_is_rejected() {
    operators_.Bootstrap(state_);
    const auto invalid = [&](const submission& submitted) {
      const submission_outcome outcome = Submit(submitted);
      CPPUNIT_ASSERT(outcome.kind == outcome_kind::kInvalid);
      const auto sent = DecodeOutcome(EncodeOutcome(outcome));
      CPPUNIT_ASSERT(sent && sent.value() == outcome);
      return outcome.error;
    };
    CPPUNIT_ASSERT_EQUAL(
        3, invalid(operators_.Make("clubs", kClub, 0,
                                   operators_.Limits(1) + "speed: 1\n"))
               .line);
    invalid(operators_.Make("clubs", kClub, 0, std::string("\xFF")));
    invalid(operators_.Make("clubs", kClub, 0, ""));
    invalid(operators_.Make("clubs", "workspaces/A", 0, "a: 1"));
    Accepts(operators_.Make("models", "models/x", 0, "versions: [{name: a}]"));
    invalid(operators_.Make("models", "services/x", 0, "load_bound: 2"));
    Accepts(operators_.Make("models", "models/x", 2, ""));
    Accepts(operators_.Make("models", "services/x", 0, "load_bound: 2"));
  }

  // Guards against members that diverge after one of them restored a snapshot.
  void snapshot_restores_the_same_state_and_decisions() {
    operators_.Bootstrap(state_);
    const auto first =
        operators_.Make("clubs", kClub, 0, operators_.Limits(10));
    Accepts(first);
    Submit(operators_.Make("clubs", kClub, 0, operators_.Limits(11)));
    policy_state restored;
    CPPUNIT_ASSERT(restored.Restore(state_.Snapshot()).has_value());
    CPPUNIT_ASSERT(restored.Snapshot() == state_.Snapshot());
    CPPUNIT_ASSERT(restored.teams() == state_.teams());
    CPPUNIT_ASSERT(operators_.Submit(restored, first) == Submit(first));
    const auto next = operators_.Make("clubs", kClub, 2, operators_.Limits(12));
    CPPUNIT_ASSERT(operators_.Submit(restored, next) == Submit(next));
    CPPUNIT_ASSERT(restored.Snapshot() == state_.Snapshot());
  }

  // Runs generated schedules of races, resends and unauthorized submissions.
  // Guards against a repeated version and a limit that changes without an
  // accepted submission.
  void schedule_limits_change_only_by_accepted_submissions() {
    CPPUNIT_ASSERT(rc::check("submission schedules", [] {
      operator_fixture operators;
      policy_state state;
      operators.Bootstrap(state);
      std::map<std::string, std::string> expected;
      std::vector<submission> sent;
      const auto steps = *rc::gen::inRange(1, 12);
      for (int i = 0; i < steps; ++i) {
        const std::string section =
            "workspaces/" + std::to_string(*rc::gen::inRange(0, 2));
        const auto current = state.document().Find(section_name(section));
        const std::uint64_t version =
            current == nullptr ? 0 : current->version.value();
        submission next =
            operators.Make(*rc::gen::elementOf(std::vector<std::string>{
                               "clubs", "clubs", "models"}),
                           section,
                           *rc::gen::elementOf(std::vector<std::uint64_t>{
                               version, version, 0, 3}),
                           operators.Limits(*rc::gen::inRange(0, 50)));
        if (!sent.empty() && *rc::gen::inRange(0, 3) == 0) {
          next = *rc::gen::elementOf(sent);
        }
        sent.push_back(next);
        const auto before = state.document().version();
        const bool known = state.history().Find(next.id) != nullptr;
        const auto outcome = operators.Submit(state, next);
        const bool accepted = outcome.kind == outcome_kind::kAccepted && !known;
        RC_ASSERT(state.document().version() ==
                  (accepted ? before.Next() : before));
        if (accepted) {
          RC_ASSERT(next.base.value() == version);
          expected[next.section.value()] = next.bytes;
        }
        for (const auto& [name, bytes] : expected) {
          RC_ASSERT(state.document().Find(section_name(name))->bytes == bytes);
        }
      }
    }));
  }

  // Guards against a crash, or a partially replaced state, on bytes from a
  // damaged disk or a faulty peer.
  void decoders_damaged_bytes_give_typed_errors() {
    operators_.Bootstrap(state_);
    const submission submitted =
        operators_.Make("clubs", kClub, 0, operators_.Limits(10));
    Accepts(submitted);
    const std::string snapshot = state_.Snapshot();
    const std::string command = EncodeCommand(operators_.Stamp(submitted));
    const std::string sent = EncodeSubmission(submitted);
    CPPUNIT_ASSERT(DecodeSubmission(sent).value() == submitted);
    CPPUNIT_ASSERT(DecodeCommand(command).value() ==
                   operators_.Stamp(submitted));
    for (std::size_t size = 0; size < snapshot.size(); ++size) {
      policy_state target;
      CPPUNIT_ASSERT(!target.Restore(snapshot.substr(0, size)));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, target.document().size());
    }
    for (std::size_t size = 0; size < command.size(); ++size) {
      CPPUNIT_ASSERT(!DecodeCommand(command.substr(0, size)));
    }
    CPPUNIT_ASSERT(DecodeSubmission(std::string(40'000, 'x')).error().kind ==
                   wire_error_kind::kTooLarge);
    CPPUNIT_ASSERT(DecodeSubmission(sent + "x").error().kind ==
                   wire_error_kind::kMalformed);
    CPPUNIT_ASSERT(rc::check("damaged messages", [&] {
      std::string bytes = *rc::gen::elementOf(
          std::vector<std::string>{snapshot, command, sent});
      const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
      bytes[at] = *rc::gen::arbitrary<char>();
      policy_state target;
      (void)target.Restore(bytes);
      (void)target.Apply(bytes);
      (void)DecodeSubmission(bytes);
      (void)DecodeOutcome(bytes);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(policy_state_test);

}  // namespace marjoramsill
