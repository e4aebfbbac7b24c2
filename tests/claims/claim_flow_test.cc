#include "request/claim_flow.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

#include "process/claims/claim_bounds.h"
#include "process/claims/content_hash.h"
#include "process/claims/stored_response.h"
#include "request/find_action.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;
using kind = claim_command_kind;

bool Sends(const call_actions& actions, kind what) {
  const auto* claim = Find<send_claim>(actions);
  return claim != nullptr && claim->command.kind == what;
}

bool Fails(const call_actions& actions, failure_kind failure,
           execution_status run) {
  const auto* failed = Find<deliver_failure>(actions);
  return failed != nullptr && failed->failure.kind == failure &&
         failed->failure.run == run;
}

response_head Head(const std::string& echoed, std::uint64_t length) {
  response_head head;
  head.status = 200;
  head.echoed = attempt_id(echoed);
  head.framing = body_framing::kLength;
  head.content_length = length;
  head.headers = {{"Content-Type", "text/plain"}, {"X-Noise", "1"}};
  return head;
}

}  // namespace

class claim_flow_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(claim_flow_test);
  CPPUNIT_TEST(grant_in_time_sends_and_stores_response);
  CPPUNIT_TEST(missing_claim_response_is_not_run_and_released);
  CPPUNIT_TEST(late_grant_is_ignored_and_released);
  CPPUNIT_TEST(unavailable_claim_is_sent_again);
  CPPUNIT_TEST(repeat_gets_the_recorded_outcome);
  CPPUNIT_TEST(response_to_another_request_is_ignored);
  CPPUNIT_TEST(refused_connection_tries_next_endpoint_under_same_claim);
  CPPUNIT_TEST(no_second_attempt_after_first_byte);
  CPPUNIT_TEST(mismatched_or_truncated_response_is_unknown);
  CPPUNIT_TEST(deadline_before_send_is_not_run_and_send_is_refused);
  CPPUNIT_TEST(caller_disconnected_after_send_still_stores_response);
  CPPUNIT_TEST(outcome_is_sent_again_until_acknowledged);
  CPPUNIT_TEST(large_response_is_stored_as_hash);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a request that is sent without a claim, and against a
  // response that is not stored for repeated requests.
  void grant_in_time_sends_and_stores_response() {
    auto actions = flow_.Start(At(0));
    CPPUNIT_ASSERT(Sends(actions, kind::kClaim));
    CPPUNIT_ASSERT(Find<start_attempt>(actions) == nullptr);
    actions = flow_.OnClaimResponse(Response(claim_outcome::kGranted), At(5));
    CPPUNIT_ASSERT(Get<start_attempt>(actions).fresh_connection);
    CPPUNIT_ASSERT(flow_.ConfirmSend(attempt_id("t1"), At(6)));
    flow_.OnHead(attempt_id("t1"), Head("t1", 6), At(7));
    flow_.OnData(attempt_id("t1"), "booked", At(8));
    actions = flow_.OnEnd(attempt_id("t1"), At(9));
    CPPUNIT_ASSERT_EQUAL(std::string("booked"),
                         Get<deliver_response>(actions).response.body);
    const auto& stored = Get<send_claim>(actions).command.response;
    CPPUNIT_ASSERT_EQUAL(std::string("booked"), stored.body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stored.headers.size());
    flow_.OnClaimResponse(Response(claim_outcome::kDone, kind::kFinish),
                          At(10));
    CPPUNIT_ASSERT(flow_.ended());
  }

  // Guards against a failure domain that runs a request although it cannot
  // reach the claim group.
  void missing_claim_response_is_not_run_and_released() {
    flow_.Start(At(0));
    const auto actions = flow_.OnTimer(At(3000));
    CPPUNIT_ASSERT(Fails(actions, failure_kind::kClaimUnavailable,
                         execution_status::kNotRun));
    CPPUNIT_ASSERT(Get<deliver_failure>(actions).failure.retry_after >=
                   std::chrono::seconds(1));
    CPPUNIT_ASSERT(Sends(actions, kind::kRelease));
  }

  // Guards against a request that is sent on a late grant, after the caller
  // received the response "not run".
  void late_grant_is_ignored_and_released() {
    flow_.Start(At(0));
    flow_.OnTimer(At(3000));
    auto actions =
        flow_.OnClaimResponse(Response(claim_outcome::kGranted), At(3001));
    CPPUNIT_ASSERT(Find<start_attempt>(actions) == nullptr);
    CPPUNIT_ASSERT(Sends(actions, kind::kRelease));
    // The timer event itself may be late, for example after a pause of the
    // process.
    claim_flow frozen = MakeFlow();
    frozen.Start(At(0));
    actions =
        frozen.OnClaimResponse(Response(claim_outcome::kGranted), At(3000));
    CPPUNIT_ASSERT(Find<start_attempt>(actions) == nullptr);
    CPPUNIT_ASSERT(Sends(actions, kind::kRelease));
    CPPUNIT_ASSERT(!frozen.ConfirmSend(attempt_id("t1"), At(3001)));
  }

  // Guards against requests that are refused during a short election.
  void unavailable_claim_is_sent_again() {
    flow_.Start(At(0));
    const auto actions = flow_.OnClaimUnavailable(At(10));
    CPPUNIT_ASSERT(Get<wake_at>(actions).at == At(260));
    CPPUNIT_ASSERT(Sends(flow_.OnTimer(At(260)), kind::kClaim));
  }

  // Guards against a wrong response to a repeated request.
  void repeat_gets_the_recorded_outcome() {
    const auto outcome_of = [this](claim_outcome outcome) {
      claim_flow flow = MakeFlow();
      flow.Start(At(0));
      return flow.OnClaimResponse(Response(outcome), At(1));
    };
    using enum failure_kind;
    const auto unknown = execution_status::kOutcomeUnknown;
    const auto not_run = execution_status::kNotRun;
    CPPUNIT_ASSERT(
        Fails(outcome_of(claim_outcome::kInProgress), kInProgress, unknown));
    CPPUNIT_ASSERT(Fails(outcome_of(claim_outcome::kOutcomeUnknown),
                         kOutcomeUnknown, unknown));
    CPPUNIT_ASSERT(
        Fails(outcome_of(claim_outcome::kKeyReused), kKeyReused, not_run));
    CPPUNIT_ASSERT(
        Fails(outcome_of(claim_outcome::kFull), kClaimsFull, not_run));
    CPPUNIT_ASSERT_EQUAL(422, FailureStatus(kKeyReused));
    claim_response finished = Response(claim_outcome::kFinished);
    finished.response = MakeStoredResponse({201, {{"ETag", "x"}}, "booked"});
    flow_.Start(At(0));
    const auto actions = flow_.OnClaimResponse(finished, At(1));
    CPPUNIT_ASSERT(Get<deliver_response>(actions).response ==
                   complete_response({201, {{"ETag", "x"}}, "booked"}));
  }

  // Guards against acting on the grant of another request or of an earlier
  // incarnation.
  void response_to_another_request_is_ignored() {
    flow_.Start(At(0));
    claim_response message = Response(claim_outcome::kGranted);
    message.serial = 8;
    CPPUNIT_ASSERT(flow_.OnClaimResponse(message, At(1)).empty());
    message = Response(claim_outcome::kGranted);
    message.incarnation = incarnation_number(1);
    CPPUNIT_ASSERT(flow_.OnClaimResponse(message, At(1)).empty());
    message = Response(claim_outcome::kDone, kind::kRelease);
    CPPUNIT_ASSERT(flow_.OnClaimResponse(message, At(1)).empty());
  }

  // Guards against a failure although nothing was sent and another endpoint is
  // left, and against attempts when no endpoint is left.
  void refused_connection_tries_next_endpoint_under_same_claim() {
    flow_.Start(At(0));
    flow_.OnClaimResponse(Response(claim_outcome::kGranted), At(1));
    auto actions = flow_.OnFailure(attempt_id("t1"), At(2));
    CPPUNIT_ASSERT(Get<start_attempt>(actions).attempt == attempt_id("t2"));
    CPPUNIT_ASSERT(flow_.OnFailure(attempt_id("t1"), At(3)).empty());
    CPPUNIT_ASSERT(!flow_.ConfirmSend(attempt_id("t1"), At(3)));
    actions = flow_.OnFailure(attempt_id("t2"), At(4));
    CPPUNIT_ASSERT(Fails(actions, failure_kind::kEndpointFailed,
                         execution_status::kNotRun));
    CPPUNIT_ASSERT(Sends(actions, kind::kRelease));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, budget_.extra_attempts());
  }

  // Guards against a request that runs twice.
  void no_second_attempt_after_first_byte() {
    Send();
    CPPUNIT_ASSERT(!flow_.ConfirmSend(attempt_id("t1"), At(3)));
    const auto actions = flow_.OnFailure(attempt_id("t1"), At(4));
    CPPUNIT_ASSERT(Find<start_attempt>(actions) == nullptr);
    CPPUNIT_ASSERT(Fails(actions, failure_kind::kResponseLost,
                         execution_status::kOutcomeUnknown));
    CPPUNIT_ASSERT(Sends(actions, kind::kMarkUnknown));
  }

  // Guards against delivering and storing a truncated response or one to
  // another request.
  void mismatched_or_truncated_response_is_unknown() {
    Send();
    auto actions = flow_.OnHead(attempt_id("t1"), Head("t9", 6), At(3));
    CPPUNIT_ASSERT(Sends(actions, kind::kMarkUnknown));
    CPPUNIT_ASSERT(Find<cancel_attempt>(actions) != nullptr);
    CPPUNIT_ASSERT(flow_.OnData(attempt_id("t1"), "late", At(4)).empty());
    flow_ = MakeFlow();
    Send();
    flow_.OnHead(attempt_id("t2"), Head("t2", 6), At(3));
    flow_.OnData(attempt_id("t2"), "book", At(4));
    actions = flow_.OnEnd(attempt_id("t2"), At(5));
    CPPUNIT_ASSERT(Fails(actions, failure_kind::kResponseLost,
                         execution_status::kOutcomeUnknown));
  }

  // Guards against a request that is sent after its caller received the
  // response "not run".
  void deadline_before_send_is_not_run_and_send_is_refused() {
    flow_.Start(At(0));
    flow_.OnClaimResponse(Response(claim_outcome::kGranted), At(1));
    CPPUNIT_ASSERT(!flow_.ConfirmSend(attempt_id("t1"), At(9995)));
    const auto actions = flow_.OnTimer(At(10000));
    CPPUNIT_ASSERT(Fails(actions, failure_kind::kDeadlineExceeded,
                         execution_status::kNotRun));
    CPPUNIT_ASSERT(!flow_.ConfirmSend(attempt_id("t1"), At(10001)));
  }

  // Guards against losing the outcome because the caller disconnected.
  void caller_disconnected_after_send_still_stores_response() {
    Send();
    CPPUNIT_ASSERT(flow_.OnCallerDisconnected(At(3)).empty());
    flow_.OnHead(attempt_id("t1"), Head("t1", 0), At(4));
    const auto actions = flow_.OnEnd(attempt_id("t1"), At(5));
    CPPUNIT_ASSERT(Sends(actions, kind::kFinish));
    CPPUNIT_ASSERT(Find<deliver_response>(actions) == nullptr);
  }

  // Guards against a claim that stays open because its outcome was lost, and
  // against sending the outcome without end.
  void outcome_is_sent_again_until_acknowledged() {
    Send();
    flow_.OnFailure(attempt_id("t1"), At(10));
    int sent = 0;
    for (int ms = 10; ms <= 11000 && !flow_.ended(); ms += 50) {
      if (Sends(flow_.OnTimer(At(ms)), kind::kMarkUnknown)) ++sent;
    }
    CPPUNIT_ASSERT(flow_.ended());
    CPPUNIT_ASSERT_EQUAL(5, sent);
  }

  // Guards against stored responses over 64 KiB.
  void large_response_is_stored_as_hash() {
    const std::string body(kMaxStoredBodyBytes + 1, 'b');
    const stored_response stored = MakeStoredResponse({200, {}, body});
    CPPUNIT_ASSERT(!stored.body_kept && stored.body.empty());
    claim_response message = Response(claim_outcome::kFinished);
    message.response = stored;
    flow_.Start(At(0));
    const auto actions = flow_.OnClaimResponse(message, At(1));
    CPPUNIT_ASSERT(Fails(actions, failure_kind::kResponseNotStored,
                         execution_status::kRun));
    CPPUNIT_ASSERT(Get<deliver_failure>(actions).failure.stored_body_hash ==
                   HashContent(body));
  }

 private:
  static steady_time At(int ms) { return steady_time(milliseconds(ms)); }

  claim_flow MakeFlow() {
    claim_flow_settings settings;
    settings.key = {workspace_id("rink"), idempotency_key("book-1")};
    settings.owner = {vm_id("vm-a"), incarnation_number(2), 7};
    settings.deadline = At(10000);
    call_hooks hooks;
    hooks.choose = [](const std::vector<endpoint_id>& tried)
        -> std::optional<endpoint_id> {
      if (tried.size() >= 2) return std::nullopt;
      return endpoint_id("e" + std::to_string(tried.size()));
    };
    hooks.next_attempt = [this] {
      return attempt_id("t" + std::to_string(++attempts_));
    };
    hooks.random = [] { return 0; };
    hooks.budget = &budget_;
    return {settings, hooks};
  }

  static claim_response Response(claim_outcome outcome,
                                 kind what = kind::kClaim) {
    claim_response message;
    message.kind = what;
    message.incarnation = incarnation_number(2);
    message.serial = 7;
    message.outcome = outcome;
    return message;
  }

  // Claims and sends the first byte.
  void Send() {
    flow_.Start(At(0));
    const auto actions =
        flow_.OnClaimResponse(Response(claim_outcome::kGranted), At(1));
    CPPUNIT_ASSERT(
        flow_.ConfirmSend(Get<start_attempt>(actions).attempt, At(2)));
  }

  int attempts_ = 0;
  retry_budget budget_;
  claim_flow flow_ = MakeFlow();
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_flow_test);

}  // namespace marjoramsill
