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
           run_certainty run) {
  const auto* answer = Find<deliver_failure>(actions);
  return answer != nullptr && answer->failure.kind == failure &&
         answer->failure.run == run;
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
  CPPUNIT_TEST(no_claim_reply_is_not_run_and_released);
  CPPUNIT_TEST(late_grant_is_not_acted_on_and_released);
  CPPUNIT_TEST(unavailable_claim_is_sent_again);
  CPPUNIT_TEST(repeat_gets_the_answer_of_the_record);
  CPPUNIT_TEST(crossed_reply_is_ignored);
  CPPUNIT_TEST(refused_connection_tries_next_endpoint_under_same_claim);
  CPPUNIT_TEST(no_second_attempt_after_first_byte);
  CPPUNIT_TEST(crossed_or_truncated_response_is_unknown);
  CPPUNIT_TEST(deadline_before_send_is_not_run_and_send_is_refused);
  CPPUNIT_TEST(caller_gone_after_send_still_stores_response);
  CPPUNIT_TEST(outcome_is_sent_again_until_acknowledged);
  CPPUNIT_TEST(large_response_is_stored_as_hash);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a request that is sent without a claim, and against a repeat
  // that finds no stored response.
  void grant_in_time_sends_and_stores_response() {
    auto actions = flow_.Start(At(0));
    CPPUNIT_ASSERT(Sends(actions, kind::kClaim));
    CPPUNIT_ASSERT(Find<start_attempt>(actions) == nullptr);
    actions = flow_.OnClaimReply(Reply(claim_outcome::kGranted), At(5));
    CPPUNIT_ASSERT(Get<start_attempt>(actions).fresh_connection);
    CPPUNIT_ASSERT(flow_.ConfirmSend(attempt_id("t1"), At(6)));
    flow_.OnHead(attempt_id("t1"), Head("t1", 6), At(7));
    flow_.OnData(attempt_id("t1"), "booked", At(8));
    actions = flow_.OnEnd(attempt_id("t1"), At(9));
    CPPUNIT_ASSERT_EQUAL(std::string("booked"),
                         Get<deliver_whole>(actions).response.body);
    const auto& stored = Get<send_claim>(actions).command.response;
    CPPUNIT_ASSERT_EQUAL(std::string("booked"), stored.body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stored.headers.size());
    flow_.OnClaimReply(Reply(claim_outcome::kDone, kind::kFinish), At(10));
    CPPUNIT_ASSERT(flow_.ended());
  }

  // Guards against a cut-off failure domain that runs a booking.
  void no_claim_reply_is_not_run_and_released() {
    flow_.Start(At(0));
    const auto actions = flow_.OnTimer(At(3000));
    CPPUNIT_ASSERT(Fails(actions, failure_kind::kClaimUnavailable,
                         run_certainty::kNotRun));
    CPPUNIT_ASSERT(Get<deliver_failure>(actions).failure.retry_after >=
                   std::chrono::seconds(1));
    CPPUNIT_ASSERT(Sends(actions, kind::kRelease));
  }

  // Guards against acting on a grant after the caller was told "not run".
  void late_grant_is_not_acted_on_and_released() {
    flow_.Start(At(0));
    flow_.OnTimer(At(3000));
    auto actions = flow_.OnClaimReply(Reply(claim_outcome::kGranted), At(3001));
    CPPUNIT_ASSERT(Find<start_attempt>(actions) == nullptr);
    CPPUNIT_ASSERT(Sends(actions, kind::kRelease));
    // The timer event itself may be late, as after a frozen process resumes.
    claim_flow frozen = MakeFlow();
    frozen.Start(At(0));
    actions = frozen.OnClaimReply(Reply(claim_outcome::kGranted), At(3000));
    CPPUNIT_ASSERT(Find<start_attempt>(actions) == nullptr);
    CPPUNIT_ASSERT(Sends(actions, kind::kRelease));
    CPPUNIT_ASSERT(!frozen.ConfirmSend(attempt_id("t1"), At(3001)));
  }

  // Guards against refusing work during an election that is soon over.
  void unavailable_claim_is_sent_again() {
    flow_.Start(At(0));
    const auto actions = flow_.OnClaimUnavailable(At(10));
    CPPUNIT_ASSERT(Get<wake_at>(actions).at == At(260));
    CPPUNIT_ASSERT(Sends(flow_.OnTimer(At(260)), kind::kClaim));
  }

  // Guards against a wrong answer to a repeat.
  void repeat_gets_the_answer_of_the_record() {
    const auto answer = [this](claim_outcome outcome) {
      claim_flow flow = MakeFlow();
      flow.Start(At(0));
      return flow.OnClaimReply(Reply(outcome), At(1));
    };
    using enum failure_kind;
    const auto unknown = run_certainty::kOutcomeUnknown;
    const auto not_run = run_certainty::kNotRun;
    CPPUNIT_ASSERT(
        Fails(answer(claim_outcome::kInProgress), kInProgress, unknown));
    CPPUNIT_ASSERT(Fails(answer(claim_outcome::kOutcomeUnknown),
                         kOutcomeUnknown, unknown));
    CPPUNIT_ASSERT(
        Fails(answer(claim_outcome::kKeyReused), kKeyReused, not_run));
    CPPUNIT_ASSERT(Fails(answer(claim_outcome::kFull), kClaimsFull, not_run));
    CPPUNIT_ASSERT_EQUAL(422, FailureStatus(kKeyReused));
    claim_reply finished = Reply(claim_outcome::kFinished);
    finished.response = MakeStoredResponse({201, {{"ETag", "x"}}, "booked"});
    flow_.Start(At(0));
    const auto actions = flow_.OnClaimReply(finished, At(1));
    CPPUNIT_ASSERT(Get<deliver_whole>(actions).response ==
                   whole_response({201, {{"ETag", "x"}}, "booked"}));
  }

  // Guards against a grant of another request or an earlier incarnation.
  void crossed_reply_is_ignored() {
    flow_.Start(At(0));
    claim_reply reply = Reply(claim_outcome::kGranted);
    reply.serial = 8;
    CPPUNIT_ASSERT(flow_.OnClaimReply(reply, At(1)).empty());
    reply = Reply(claim_outcome::kGranted);
    reply.life = incarnation(1);
    CPPUNIT_ASSERT(flow_.OnClaimReply(reply, At(1)).empty());
    reply = Reply(claim_outcome::kDone, kind::kRelease);
    CPPUNIT_ASSERT(flow_.OnClaimReply(reply, At(1)).empty());
  }

  // Guards against giving up although nothing was sent, and against extra
  // attempts beyond the endpoints.
  void refused_connection_tries_next_endpoint_under_same_claim() {
    flow_.Start(At(0));
    flow_.OnClaimReply(Reply(claim_outcome::kGranted), At(1));
    auto actions = flow_.OnFailure(attempt_id("t1"), At(2));
    CPPUNIT_ASSERT(Get<start_attempt>(actions).attempt == attempt_id("t2"));
    CPPUNIT_ASSERT(flow_.OnFailure(attempt_id("t1"), At(3)).empty());
    CPPUNIT_ASSERT(!flow_.ConfirmSend(attempt_id("t1"), At(3)));
    actions = flow_.OnFailure(attempt_id("t2"), At(4));
    CPPUNIT_ASSERT(
        Fails(actions, failure_kind::kEndpointFailed, run_certainty::kNotRun));
    CPPUNIT_ASSERT(Sends(actions, kind::kRelease));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, budget_.extra_attempts());
  }

  // Guards against running a charge twice.
  void no_second_attempt_after_first_byte() {
    Send();
    CPPUNIT_ASSERT(!flow_.ConfirmSend(attempt_id("t1"), At(3)));
    const auto actions = flow_.OnFailure(attempt_id("t1"), At(4));
    CPPUNIT_ASSERT(Find<start_attempt>(actions) == nullptr);
    CPPUNIT_ASSERT(Fails(actions, failure_kind::kResponseLost,
                         run_certainty::kOutcomeUnknown));
    CPPUNIT_ASSERT(Sends(actions, kind::kMarkUnknown));
  }

  // Guards against another request's response, or half of one, being delivered
  // and stored.
  void crossed_or_truncated_response_is_unknown() {
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
                         run_certainty::kOutcomeUnknown));
  }

  // Guards against a request sent after its caller was told that it was not.
  void deadline_before_send_is_not_run_and_send_is_refused() {
    flow_.Start(At(0));
    flow_.OnClaimReply(Reply(claim_outcome::kGranted), At(1));
    CPPUNIT_ASSERT(!flow_.ConfirmSend(attempt_id("t1"), At(9995)));
    const auto actions = flow_.OnTimer(At(10000));
    CPPUNIT_ASSERT(Fails(actions, failure_kind::kDeadlineExceeded,
                         run_certainty::kNotRun));
    CPPUNIT_ASSERT(!flow_.ConfirmSend(attempt_id("t1"), At(10001)));
  }

  // Guards against losing the outcome because the caller hung up.
  void caller_gone_after_send_still_stores_response() {
    Send();
    CPPUNIT_ASSERT(flow_.OnCallerGone(At(3)).empty());
    flow_.OnHead(attempt_id("t1"), Head("t1", 0), At(4));
    const auto actions = flow_.OnEnd(attempt_id("t1"), At(5));
    CPPUNIT_ASSERT(Sends(actions, kind::kFinish));
    CPPUNIT_ASSERT(Find<deliver_whole>(actions) == nullptr);
  }

  // Guards against a lost finish that leaves the claim open, and against
  // sending it for ever.
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
    claim_reply reply = Reply(claim_outcome::kFinished);
    reply.response = stored;
    flow_.Start(At(0));
    const auto actions = flow_.OnClaimReply(reply, At(1));
    CPPUNIT_ASSERT(
        Fails(actions, failure_kind::kResponseNotStored, run_certainty::kRun));
    CPPUNIT_ASSERT(Get<deliver_failure>(actions).failure.stored_body_hash ==
                   HashContent(body));
  }

 private:
  static steady_time At(int ms) { return steady_time(milliseconds(ms)); }

  claim_flow MakeFlow() {
    claim_flow_settings settings;
    settings.key = {workspace_id("rink"), idempotency_key("book-1")};
    settings.owner = {vm_id("vm-a"), incarnation(2), 7};
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

  static claim_reply Reply(claim_outcome outcome, kind what = kind::kClaim) {
    claim_reply reply;
    reply.kind = what;
    reply.life = incarnation(2);
    reply.serial = 7;
    reply.outcome = outcome;
    return reply;
  }

  // Claims and sends the first byte.
  void Send() {
    flow_.Start(At(0));
    const auto actions =
        flow_.OnClaimReply(Reply(claim_outcome::kGranted), At(1));
    CPPUNIT_ASSERT(
        flow_.ConfirmSend(Get<start_attempt>(actions).attempt, At(2)));
  }

  int attempts_ = 0;
  retry_budget budget_;
  claim_flow flow_ = MakeFlow();
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_flow_test);

}  // namespace marjoramsill
