#include "request/attempt_plan.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "request/find_action.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

std::string Event(const std::string& text) {
  return R"(data: {"id":"x","choices":[{"index":0,"delta":{"content":")" +
         text + "\"}}]}\n\n";
}

steady_time At(int ms) { return steady_time(milliseconds(ms)); }

attempt_id Id(int number) { return attempt_id("t" + std::to_string(number)); }

response_head Head(int echoed, std::uint16_t status = 200) {
  response_head head;
  head.status = status;
  head.echoed = Id(echoed);
  return head;
}

}  // namespace

class attempt_plan_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(attempt_plan_test);
  CPPUNIT_TEST(response_is_delivered_only_if_complete);
  CPPUNIT_TEST(refused_by_every_endpoint_fails_at_once_as_not_run);
  CPPUNIT_TEST(failure_after_send_is_outcome_unknown);
  CPPUNIT_TEST(no_endpoint_fails_as_not_run);
  CPPUNIT_TEST(client_error_is_delivered_and_server_error_is_retried);
  CPPUNIT_TEST(broken_stream_is_resumed_then_replayed);
  CPPUNIT_TEST(resume_without_confirmed_offset_is_replayed);
  CPPUNIT_TEST(stream_without_done_is_aborted);
  CPPUNIT_TEST(events_of_earlier_attempts_are_ignored);
  CPPUNIT_TEST(response_to_another_attempt_is_a_failure);
  CPPUNIT_TEST(timeout_tries_another_endpoint_or_waits_on);
  CPPUNIT_TEST(deadline_ends_the_call);
  CPPUNIT_TEST(caller_disconnect_cancels_engine_work);
  CPPUNIT_TEST(empty_budget_gives_up_at_once);
  CPPUNIT_TEST(timeouts_follow_targets_and_deadline);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against delivering a truncated response as complete.
  void response_is_delivered_only_if_complete() {
    attempt_plan plan = Plan(false);
    plan.Start(At(0));
    response_head head = Head(1);
    head.framing = body_framing::kLength;
    head.content_length = 4;
    plan.OnHead(Id(1), head, At(1));
    plan.OnData(Id(1), "abc", At(2));
    auto actions = plan.OnEnd(Id(1), At(3));
    CPPUNIT_ASSERT(Find<deliver_response>(actions) == nullptr);
    CPPUNIT_ASSERT(Get<start_attempt>(actions).kind == attempt_kind::kRetry);
    // Without a marked end of the body, truncation cannot be detected.
    head = Head(2);
    head.framing = body_framing::kUntilClose;
    actions = plan.OnHead(Id(2), head, At(4));
    CPPUNIT_ASSERT(Find<cancel_attempt>(actions) != nullptr);
    plan.OnHead(Id(3), Head(3), At(5));
    plan.OnData(Id(3), "abcd", At(6));
    actions = plan.OnEnd(Id(3), At(7));
    CPPUNIT_ASSERT_EQUAL(std::string("abcd"),
                         Get<deliver_response>(actions).response.body);
    CPPUNIT_ASSERT(plan.ended());
  }

  // Guards against delaying the final failure until the deadline.
  void refused_by_every_endpoint_fails_at_once_as_not_run() {
    attempt_plan plan = Plan(true);
    plan.Start(At(0));
    call_actions actions;
    for (int i = 1; i <= 3; ++i) actions = plan.OnFailure(Id(i), At(i));
    const auto delivered = Get<deliver_failure>(actions);
    CPPUNIT_ASSERT(delivered.failure.run == execution_status::kNotRun);
    CPPUNIT_ASSERT(delivered.failure.retry_after >= std::chrono::seconds(1));
    CPPUNIT_ASSERT(plan.ended());
  }

  // Guards against "not run" for a request that an endpoint may have run.
  void failure_after_send_is_outcome_unknown() {
    attempt_plan plan = Plan(true);
    plan.Start(At(0));
    CPPUNIT_ASSERT(plan.ConfirmSend(Id(1), At(1)));
    call_actions actions;
    for (int i = 1; i <= 3; ++i) actions = plan.OnFailure(Id(i), At(i));
    CPPUNIT_ASSERT(Get<deliver_failure>(actions).failure.run ==
                   execution_status::kOutcomeUnknown);
  }

  // Guards against an attempt without an endpoint.
  void no_endpoint_fails_as_not_run() {
    endpoints_ = 0;
    attempt_plan plan = Plan(true);
    const auto actions = plan.Start(At(0));
    const auto delivered = Get<deliver_failure>(actions);
    CPPUNIT_ASSERT(delivered.failure.kind == failure_kind::kNoEndpoint);
    CPPUNIT_ASSERT(delivered.failure.run == execution_status::kNotRun);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, budget_.first_attempts());
  }

  // Guards against retrying requests that every endpoint would reject.
  void client_error_is_delivered_and_server_error_is_retried() {
    attempt_plan plan = Plan(true);
    plan.Start(At(0));
    auto actions = plan.OnHead(Id(1), Head(1, 503), At(1));
    CPPUNIT_ASSERT(Find<start_attempt>(actions) != nullptr);
    plan.OnHead(Id(2), Head(2, 400), At(2));
    plan.OnData(Id(2), "bad", At(3));
    actions = plan.OnEnd(Id(2), At(4));
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{400},
                         Get<deliver_response>(actions).response.status);
  }

  // Guards against lost or repeated text when a stream is interrupted.
  void broken_stream_is_resumed_then_replayed() {
    attempt_plan plan = StreamBrokenAfter("hello");
    plan.OnData(Id(1), "data: half", At(3));
    auto actions = plan.OnFailure(Id(1), At(4));
    auto start = Get<start_attempt>(actions);
    CPPUNIT_ASSERT(start.kind == attempt_kind::kResume);
    CPPUNIT_ASSERT(start.endpoint == endpoint_id("e0"));
    CPPUNIT_ASSERT(start.resume_attempt == Id(1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, start.resume_offset);
    response_head head = Head(2);
    head.resume_offset = 1;
    plan.OnHead(Id(2), head, At(5));
    plan.OnData(Id(2), Event(" big"), At(6));
    actions = plan.OnFailure(Id(2), At(7));
    start = Get<start_attempt>(actions);
    CPPUNIT_ASSERT(start.resume_attempt == Id(1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, start.resume_offset);
    actions = plan.OnFailure(Id(3), At(8));
    start = Get<start_attempt>(actions);
    CPPUNIT_ASSERT(start.kind == attempt_kind::kReplay);
    CPPUNIT_ASSERT(start.endpoint == endpoint_id("e1"));
    CPPUNIT_ASSERT_EQUAL(std::string("hello big"), start.text_so_far);
    plan.OnHead(Id(4), Head(4), At(9));
    actions = plan.OnData(Id(4), Event(" world") + "data: [DONE]\n\n", At(10));
    CPPUNIT_ASSERT_EQUAL(Event(" world") + "data: [DONE]\n\n",
                         Get<deliver_bytes>(actions).bytes);
    CPPUNIT_ASSERT(Find<end_delivery>(actions) != nullptr);
  }

  // Guards against an endpoint that restarts the stream instead of resuming it.
  void resume_without_confirmed_offset_is_replayed() {
    attempt_plan plan = StreamBrokenAfter("hello");
    plan.OnFailure(Id(1), At(4));
    const auto actions = plan.OnHead(Id(2), Head(2), At(5));
    CPPUNIT_ASSERT(Get<start_attempt>(actions).kind == attempt_kind::kReplay);
  }

  // Guards against a truncated stream that the caller takes for complete.
  void stream_without_done_is_aborted() {
    endpoints_ = 1;
    attempt_plan plan = StreamBrokenAfter("hello");
    plan.OnEnd(Id(1), At(4));
    const auto actions = plan.OnFailure(Id(2), At(5));
    CPPUNIT_ASSERT(Find<abort_delivery>(actions) != nullptr);
    CPPUNIT_ASSERT(Find<end_delivery>(actions) == nullptr);
    CPPUNIT_ASSERT(Find<deliver_failure>(actions) == nullptr);
  }

  // Guards against late text of an earlier attempt in the response.
  void events_of_earlier_attempts_are_ignored() {
    attempt_plan plan = StreamBrokenAfter("hello");
    plan.OnFailure(Id(1), At(4));
    CPPUNIT_ASSERT(plan.OnData(Id(1), Event("late"), At(5)).empty());
    CPPUNIT_ASSERT(plan.OnEnd(Id(1), At(5)).empty());
    CPPUNIT_ASSERT(plan.OnFailure(Id(1), At(5)).empty());
    CPPUNIT_ASSERT(!plan.ConfirmSend(Id(1), At(5)));
  }

  // Guards against delivering a response that belongs to another request.
  void response_to_another_attempt_is_a_failure() {
    attempt_plan plan = Plan(true);
    plan.Start(At(0));
    const auto actions = plan.OnHead(Id(1), Head(7), At(1));
    CPPUNIT_ASSERT(Get<cancel_attempt>(actions).attempt == Id(1));
    CPPUNIT_ASSERT(Get<start_attempt>(actions).kind == attempt_kind::kRetry);
  }

  // Guards against a stuck endpoint that blocks a request until its deadline,
  // and against cancelling an attempt when no other one is possible.
  void timeout_tries_another_endpoint_or_waits_on() {
    endpoints_ = 2;
    attempt_plan plan = Plan(true);
    const auto wake = Get<wake_at>(plan.Start(At(0))).at;
    CPPUNIT_ASSERT(wake == At(4000));  // Half of the time to the deadline.
    auto actions = plan.OnTimer(At(3999));
    CPPUNIT_ASSERT(Find<start_attempt>(actions) == nullptr);
    actions = plan.OnTimer(At(4000));
    CPPUNIT_ASSERT(Get<cancel_attempt>(actions).attempt == Id(1));
    CPPUNIT_ASSERT(Get<start_attempt>(actions).attempt == Id(2));
    actions = plan.OnTimer(At(6000));
    CPPUNIT_ASSERT(Find<cancel_attempt>(actions) == nullptr);
    CPPUNIT_ASSERT(Get<wake_at>(actions).at == At(8000));
    plan.OnHead(Id(2), Head(2), At(6001));
    actions = plan.OnData(Id(2), Event("hello"), At(6002));
    CPPUNIT_ASSERT(Find<deliver_bytes>(actions) != nullptr);
  }

  // Guards against a response after the deadline.
  void deadline_ends_the_call() {
    attempt_plan plan = Plan(false);
    plan.Start(At(0));
    CPPUNIT_ASSERT(plan.ConfirmSend(Id(1), At(1)));
    const auto actions = plan.OnTimer(At(8000));
    const auto delivered = Get<deliver_failure>(actions);
    CPPUNIT_ASSERT(delivered.failure.kind == failure_kind::kDeadlineExceeded);
    CPPUNIT_ASSERT(Find<cancel_attempt>(actions) != nullptr);
    CPPUNIT_ASSERT(plan.OnTimer(At(8001)).empty());
  }

  // Guards against engines that go on generating for a disconnected caller.
  void caller_disconnect_cancels_engine_work() {
    attempt_plan plan = StreamBrokenAfter("hello");
    const auto actions = plan.OnCallerDisconnected(At(4));
    CPPUNIT_ASSERT(Get<cancel_attempt>(actions).attempt == Id(1));
    CPPUNIT_ASSERT(plan.ended());
    CPPUNIT_ASSERT(plan.OnData(Id(1), Event("x"), At(5)).empty());
  }

  // Guards against extra attempts beyond the budget.
  void empty_budget_gives_up_at_once() {
    while (budget_.TakeExtraAttempt()) {
    }
    attempt_plan plan = Plan(true);
    plan.Start(At(0));
    const auto actions = plan.OnFailure(Id(1), At(1));
    CPPUNIT_ASSERT(Find<deliver_failure>(actions) != nullptr);
    CPPUNIT_ASSERT(Find<start_attempt>(actions) == nullptr);
  }

  // Guards against timeouts that leave no time for another attempt, and against
  // cancelling a healthy stream shortly before its deadline.
  void timeouts_follow_targets_and_deadline() {
    attempt_settings settings;
    settings.streamed = true;
    settings.first_event_target = milliseconds(100);
    settings.between_events_target = milliseconds(10);
    auto timeouts = DeriveAttemptTimeouts(settings, std::chrono::seconds(60));
    CPPUNIT_ASSERT(timeouts.first_event == milliseconds(800));
    CPPUNIT_ASSERT(timeouts.between_events == milliseconds(400));
    timeouts = DeriveAttemptTimeouts(settings, milliseconds(600));
    CPPUNIT_ASSERT(timeouts.first_event == milliseconds(300));
    CPPUNIT_ASSERT(timeouts.between_events == milliseconds(600));
    timeouts = DeriveAttemptTimeouts(settings, milliseconds(150));
    CPPUNIT_ASSERT(timeouts.first_event == milliseconds(150));
    settings.streamed = false;
    timeouts = DeriveAttemptTimeouts(settings, std::chrono::seconds(60));
    CPPUNIT_ASSERT(timeouts.first_event == std::chrono::seconds(30));
  }

 private:
  attempt_plan Plan(bool streamed) {
    attempt_settings settings;
    settings.streamed = streamed;
    settings.deadline = At(8000);
    call_hooks hooks;
    hooks.choose = [this](const std::vector<endpoint_id>& tried)
        -> std::optional<endpoint_id> {
      if (tried.size() >= endpoints_) return std::nullopt;
      return endpoint_id("e" + std::to_string(tried.size()));
    };
    hooks.next_attempt = [this] { return Id(++attempts_); };
    hooks.random = [] { return 0; };
    hooks.budget = &budget_;
    return {settings, hooks};
  }

  // A call with a stream whose first event was delivered.
  attempt_plan StreamBrokenAfter(const std::string& text) {
    attempt_plan plan = Plan(true);
    plan.Start(At(0));
    plan.ConfirmSend(Id(1), At(0));
    plan.OnHead(Id(1), Head(1), At(1));
    const auto actions = plan.OnData(Id(1), Event(text), At(2));
    CPPUNIT_ASSERT_EQUAL(Event(text), Get<deliver_bytes>(actions).bytes);
    return plan;
  }

  std::size_t endpoints_ = 3;
  int attempts_ = 0;
  retry_budget budget_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(attempt_plan_test);

}  // namespace marjoramsill
