#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "request/attempt_plan.h"
#include "request/find_action.h"

namespace marjoramsill {

using std::chrono::milliseconds;

/// A stream whose endpoint falls silent, while the next endpoint does not run
/// the request.
class late_attempt_plan_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(late_attempt_plan_test);
  CPPUNIT_TEST(silent_stream_is_not_cut_off_if_its_replacement_is_refused);
  CPPUNIT_TEST_SUITE_END();

  retry_budget budget_;
  int attempts_ = 0;

  static steady_time At(int ms) { return steady_time(milliseconds(ms)); }

  static response_head Head(const std::string& attempt, std::uint16_t status) {
    response_head head;
    head.status = status;
    head.echoed = attempt_id(attempt);
    return head;
  }

  attempt_plan Plan() {
    attempt_settings settings;
    settings.streamed = true;
    settings.deadline = At(8'000);
    settings.first_event_target = milliseconds(100);
    settings.between_events_target = milliseconds(20);
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

 public:
  // Guards against a sound stream that is given up for an attempt that is not
  // run.
  void silent_stream_is_not_cut_off_if_its_replacement_is_refused() {
    const std::string event =
        R"(data: {"id":"x","choices":[{"index":0,"delta":{"content":"a"}}]})"
        "\n\n";
    attempt_plan plan = Plan();
    plan.Start(At(0));
    plan.ConfirmSend(attempt_id("t1"), At(0));
    plan.OnHead(attempt_id("t1"), Head("t1", 200), At(1));
    plan.OnData(attempt_id("t1"), event, At(2));
    auto actions = plan.OnTimer(At(1'000));
    CPPUNIT_ASSERT(Get<start_attempt>(actions).endpoint == endpoint_id("e1"));
    plan.OnHead(attempt_id("t2"), Head("t2", 503), At(1'001));
    actions = plan.OnData(attempt_id("t1"), "data: [DONE]\n\n", At(2'000));
    CPPUNIT_ASSERT(Find<end_delivery>(actions) != nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(late_attempt_plan_test);

}  // namespace marjoramsill
