#include "process/replication/append_window.h"

#include <cppunit/extensions/HelperMacros.h>

#include "process/replication/raft_settings.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kRequestBytes = 1'000;

raft_settings Settings() {
  raft_settings settings;
  settings.heartbeat_interval = milliseconds(100);
  settings.max_append_bytes = kRequestBytes;
  settings.max_appends_in_flight = 4;
  return settings;
}

steady_time At(int ms) { return steady_time(milliseconds(ms)); }

}  // namespace

class append_window_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(append_window_test);
  CPPUNIT_TEST(window_without_response_has_room_for_one_request);
  CPPUNIT_TEST(window_with_fast_responses_grows_to_its_limit);
  CPPUNIT_TEST(window_with_slow_responses_shrinks_to_one_request);
  CPPUNIT_TEST(request_without_response_is_repeated_ever_later);
  CPPUNIT_TEST(request_of_unknown_duration_is_given_time_by_its_size);
  CPPUNIT_TEST(response_to_a_repetition_changes_nothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a leader that fills a link before it knows its rate.
  void window_without_response_has_room_for_one_request() {
    append_window window;
    CPPUNIT_ASSERT(window.HasRoom(settings_));
    window.RecordSent(log_index(1), kRequestBytes, At(0));
    CPPUNIT_ASSERT(!window.HasRoom(settings_));
  }

  // Guards against one request at a time on a fast link.
  void window_with_fast_responses_grows_to_its_limit() {
    append_window window;
    std::uint64_t index = 0;
    for (int round = 0; round < 4; ++round) {
      while (window.HasRoom(settings_)) {
        window.RecordSent(log_index(++index), kRequestBytes, At(10 * round));
      }
      window.RecordResponse(log_index(index), settings_, At(10 * round + 5));
    }
    std::size_t requests = 0;
    for (; window.HasRoom(settings_); ++requests) {
      window.RecordSent(log_index(++index), kRequestBytes, At(50));
    }
    CPPUNIT_ASSERT_EQUAL(settings_.max_appends_in_flight, requests);
  }

  // Guards against a queue on a slow link, in which heartbeats and votes wait.
  void window_with_slow_responses_shrinks_to_one_request() {
    append_window window;
    window.RecordSent(log_index(1), kRequestBytes, At(0));
    window.RecordResponse(log_index(1), settings_, At(10));
    window.RecordSent(log_index(2), kRequestBytes / 2, At(10));
    CPPUNIT_ASSERT(window.HasRoom(settings_));
    window.RecordResponse(log_index(2), settings_, At(500));
    window.RecordSent(log_index(3), kRequestBytes / 2, At(500));
    CPPUNIT_ASSERT(!window.HasRoom(settings_));
  }

  // Guards against repetitions at a fixed interval, which fill a slow link.
  void request_without_response_is_repeated_ever_later() {
    append_window window;
    window.RecordSent(log_index(1), 0, At(0));
    CPPUNIT_ASSERT(!window.IsOverdue(settings_, At(99)));
    CPPUNIT_ASSERT(window.IsOverdue(settings_, At(100)));
    window.RecordLoss(settings_);
    window.RecordSent(log_index(1), 0, At(100));
    CPPUNIT_ASSERT(!window.IsOverdue(settings_, At(299)));
    CPPUNIT_ASSERT(window.IsOverdue(settings_, At(300)));
    for (int i = 0; i < 10; ++i) window.RecordLoss(settings_);
    window.RecordSent(log_index(1), 0, At(300));
    CPPUNIT_ASSERT(window.IsOverdue(settings_, At(1'100)));
  }

  // Guards against the repetition of a large document that is still on its way.
  void request_of_unknown_duration_is_given_time_by_its_size() {
    append_window window;
    window.RecordSent(log_index(1), 64'000, At(0));
    CPPUNIT_ASSERT(!window.IsOverdue(settings_, At(1'000)));
    CPPUNIT_ASSERT(window.IsOverdue(settings_, At(1'200)));
  }

  // Guards against a link that counts as fast because of a late duplicate.
  void response_to_a_repetition_changes_nothing() {
    append_window window;
    window.RecordSent(log_index(1), kRequestBytes, At(0));
    window.RecordLoss(settings_);
    window.RecordSent(log_index(1), kRequestBytes, At(200));
    window.RecordResponse(log_index(1), settings_, At(400));
    window.RecordSent(log_index(2), kRequestBytes, At(400));
    window.RecordResponse(log_index(1), settings_, At(401));
    CPPUNIT_ASSERT(!window.IsIdle());
    CPPUNIT_ASSERT(!window.HasRoom(settings_));
  }

 private:
  const raft_settings settings_ = Settings();
};

CPPUNIT_TEST_SUITE_REGISTRATION(append_window_test);

}  // namespace marjoramsill
