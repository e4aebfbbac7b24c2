#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <functional>
#include <sstream>
#include <string>

#include "raw_endpoint.h"
#include "raw_pool_fixture.h"

namespace marjoramsill {

using std::chrono::milliseconds;

/// An entry process in front of two endpoints, of which one falls silent in its
/// answer and goes on, while the other one does not run the request.
class silent_stream_test : public raw_pool_fixture {
  CPPUNIT_TEST_SUITE(silent_stream_test);
  CPPUNIT_TEST(silent_stream_is_not_cut_off_if_its_replacement_is_refused);
  CPPUNIT_TEST(silent_stream_is_not_cut_off_if_its_replacement_breaks);
  CPPUNIT_TEST(silent_stream_is_not_cut_off_if_its_replacement_is_silent_too);
  CPPUNIT_TEST(silent_stream_is_not_cut_off_around_a_planned_stop);
  CPPUNIT_TEST(slow_plain_answer_is_not_given_up_if_its_replacement_is_refused);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 17'600;
  static constexpr const char* kHead =
      "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: raw\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  static constexpr const char* kError =
      "HTTP/1.1 500 No\r\nAttempt-Id: {id}\r\nContent-Length: 0\r\n\r\n";
  static constexpr const char* kRefusal =
      "HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n"
      "Content-Length: 0\r\n\r\n";
  /// Longer than an entry process waits for an event, or for a plain answer,
  /// before it turns to another endpoint.
  static constexpr milliseconds kStreamSilence{1'700};
  static constexpr milliseconds kPlainSilence{800};

  /// Sends a request of which one endpoint gives the first answer, and the
  /// other one the second. Returns the status, or 0 for an answer that is not
  /// whole. `on_begin` is called once the first endpoint has the request.
  int Ask(
      const std::string& path, const raw_answer& first,
      const raw_answer& second, const std::function<void()>& on_begin = [] {}) {
    SetAnswers(first);
    const int before = RequestCount();
    int status = -1;
    Send(0, path, "silent" + std::to_string(++number_), {},
         [&status](int received) { status = received; });
    RunUntil([&] { return status >= 0 || RequestCount() > before; });
    SetAnswers(second);
    on_begin();
    RunUntil([&status] { return status >= 0; });
    CPPUNIT_ASSERT_EQUAL(before + 2, RequestCount());
    return status;
  }

  static std::string Chunk(const std::string& text) {
    std::ostringstream chunk;
    chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
    return chunk.str();
  }

  static raw_answer SilentStream() {
    raw_answer answer{std::string(kHead) + Chunk("id: 1\ndata: a\n\n"), ""};
    answer.pieces = {Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n"};
    answer.interval = kStreamSilence;
    answer.end = raw_end::kKeep;
    return answer;
  }

  static raw_answer Refusal() { return {kRefusal, "", raw_end::kKeep}; }

  /// Sends nothing before its caller leaves.
  static raw_answer Nothing() { return {"", "", raw_end::kKeep}; }

 public:
  void setUp() override {
    StartRawPool(kPort, 2, {kError, "", raw_end::kKeep}, MARJORAMSILL_BINARY,
                 MARJORAMSILL_FOLDER);
  }

  // Guards against a sound stream that is given up for an attempt that is not
  // run.
  void silent_stream_is_not_cut_off_if_its_replacement_is_refused() {
    CPPUNIT_ASSERT_EQUAL(200, Ask("/raw-chat/", SilentStream(), Refusal()));
  }

  void silent_stream_is_not_cut_off_if_its_replacement_breaks() {
    CPPUNIT_ASSERT_EQUAL(
        200, Ask("/raw-chat/", SilentStream(), {"", "", raw_end::kReset}));
  }

  void silent_stream_is_not_cut_off_if_its_replacement_is_silent_too() {
    CPPUNIT_ASSERT_EQUAL(200, Ask("/raw-chat/", SilentStream(), Nothing()));
  }

  // Guards against answers that are lost around SIGTERM although their
  // endpoints finish them.
  void silent_stream_is_not_cut_off_around_a_planned_stop() {
    const auto stop = [this] {
      soak::soak_node& entry = *fleet_->EntryNodes()[0];
      entry.is_end_expected = true;
      entry.process.Signal(SIGTERM);
    };
    CPPUNIT_ASSERT_EQUAL(200,
                         Ask("/raw-chat/", SilentStream(), Refusal(), stop));
  }

  void slow_plain_answer_is_not_given_up_if_its_replacement_is_refused() {
    raw_answer slow{"", ""};
    slow.pieces = {"HTTP/1.1 200 OK\r\nAttempt-Id: silent" +
                   std::to_string(number_ + 1) +
                   "\r\nServer-Signature: raw\r\nContent-Length: 3\r\n\r\nall"};
    slow.interval = kPlainSilence;
    CPPUNIT_ASSERT_EQUAL(200, Ask("/raw-look/", slow, Refusal()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(silent_stream_test);

}  // namespace marjoramsill
