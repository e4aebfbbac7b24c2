#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <fstream>
#include <memory>
#include <string>

#include "fleet_fixture.h"
#include "raw_endpoint.h"

namespace marjoramsill {

using std::chrono::milliseconds;

/// An entry process in front of an endpoint whose answers are not framed, or
/// are no answers and do not end.
class raw_answer_test : public fleet_fixture {
  CPPUNIT_TEST_SUITE(raw_answer_test);
  CPPUNIT_TEST(answer_without_length_that_ends_is_complete);
  CPPUNIT_TEST(stream_without_length_that_ends_after_an_event_is_complete);
  CPPUNIT_TEST(stream_without_length_that_ends_inside_an_event_is_cut_off);
  CPPUNIT_TEST(head_without_end_fails_and_leaves_memory_free);
  CPPUNIT_TEST(body_without_end_fails_and_leaves_memory_free);
  CPPUNIT_TEST(stream_without_end_fails_and_leaves_memory_free);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 27'000;
  /// Memory of an entry VM on the users' deployments.
  static constexpr long kMaxMemoryKb = 260 * 1024;
  static constexpr int kAtOnce = 12;

  static constexpr const char* kHead =
      "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: raw\r\n\r\n";

  std::unique_ptr<raw_endpoint> endpoint_;
  int number_ = 0;

  int Ask(const std::string& path) {
    return Status(0, path, "raw" + std::to_string(++number_));
  }

  long PeakMemoryKb() const {
    std::ifstream status("/proc/" +
                         std::to_string(fleet_->EntryNodes()[0]->process.id()) +
                         "/status");
    std::string word;
    while (status >> word) {
      long kilobytes = 0;
      if (word == "VmHWM:" && status >> kilobytes) return kilobytes;
    }
    return 0;
  }

  /// Sends requests whose answers do not end. None must be served, and the
  /// entry process must keep running within its memory.
  void CheckEndless(const std::string& path, const raw_answer& answer) {
    endpoint_->SetAnswer(answer);
    int served = 0;
    for (int i = 0; i < kAtOnce; ++i) {
      Send(0, path, "endless" + std::to_string(i), {},
           [&served](int status) { served += status == 200; });
    }
    RunFor(milliseconds(3'500));
    CPPUNIT_ASSERT_EQUAL(0, served);
    const long memory = PeakMemoryKb();
    CPPUNIT_ASSERT(memory > 0 && memory <= kMaxMemoryKb);
  }

 public:
  void setUp() override {
    soak::soak_settings settings;
    settings.port = kPort;
    settings.entry_processes = 1;
    settings.endpoints = 1;
    StartFleet(settings, MARJORAMSILL_BINARY, MARJORAMSILL_FOLDER);
    endpoint_ = std::make_unique<raw_endpoint>(
        io_, socket_address{"127.0.2.9", kPort + 9},
        [this] { return fleet_->ControlNodes()[0]->control; });
    endpoint_->SetAnswer({"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", ""});
    CPPUNIT_ASSERT(RunUntil([this] { return Ask("/raw-ask/") == 500; }));
  }

  void tearDown() override {
    endpoint_.reset();
    fleet_fixture::tearDown();
  }

  void answer_without_length_that_ends_is_complete() {
    endpoint_->SetAnswer({std::string(kHead) + "all of it", ""});
    CPPUNIT_ASSERT_EQUAL(200, Ask("/raw-ask/"));
  }

  void stream_without_length_that_ends_after_an_event_is_complete() {
    for (const char* path : {"/raw-stream/", "/raw-resumable/"}) {
      endpoint_->SetAnswer({std::string(kHead) + "id: 1\ndata: a\n\n", ""});
      CPPUNIT_ASSERT_EQUAL(200, Ask(path));
    }
  }

  // Guards against a stream that looks complete to its caller although its
  // endpoint broke it off.
  void stream_without_length_that_ends_inside_an_event_is_cut_off() {
    for (const char* path : {"/raw-stream/", "/raw-resumable/"}) {
      endpoint_->SetAnswer(
          {std::string(kHead) + "id: 1\ndata: a\n\nid: 2\nda", ""});
      CPPUNIT_ASSERT_EQUAL(0, Ask(path));
    }
  }

  void head_without_end_fails_and_leaves_memory_free() {
    CheckEndless("/raw-ask/", {"HTTP/1.1 200 OK\r\n",
                               "X-Field: " + std::string(4'000, 'a') + "\r\n"});
  }

  // Guards against an answer that is collected until the process is killed for
  // its memory.
  void body_without_end_fails_and_leaves_memory_free() {
    CheckEndless("/raw-ask/", {kHead, std::string(60'000, 'a')});
  }

  void stream_without_end_fails_and_leaves_memory_free() {
    CheckEndless("/raw-resumable/", {kHead, std::string(60'000, 'a')});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(raw_answer_test);

}  // namespace marjoramsill
