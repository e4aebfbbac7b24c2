#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "body_crowd.h"
#include "crowd_fixture.h"
#include "raw_endpoint.h"

namespace marjoramsill {

using std::chrono::milliseconds;

/// Guards against an entry process that runs out of memory because many clients
/// leave the bodies of their requests unfinished.
class body_crowd_test : public crowd_fixture {
  CPPUNIT_TEST_SUITE(body_crowd_test);
  CPPUNIT_TEST(whole_bodies_leave_memory_free);
  CPPUNIT_TEST(slow_bodies_leave_memory_free);
  CPPUNIT_TEST(large_chunks_leave_memory_free);
  CPPUNIT_TEST(small_chunks_leave_memory_free);
  CPPUNIT_TEST(chunks_over_limit_leave_memory_free);
  CPPUNIT_TEST(announced_over_limit_leave_memory_free);
  CPPUNIT_TEST(unread_answers_leave_memory_free);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 17'400;
  /// `max_body_bytes` of the document.
  static constexpr std::size_t kLimit = std::size_t{4} * 1024 * 1024;

  /// Exceeds what the kernel holds for one connection.
  static constexpr std::size_t kLongAnswer = std::size_t{6} * 1024 * 1024;
  int number_ = 0;

  static std::string Head(const std::string& framing) {
    return "POST /look/crowd HTTP/1.1\r\nHost: crowd\r\n" + framing +
           "\r\n\r\n";
  }

  static std::string LengthHead(std::size_t length) {
    return Head("Content-Length: " + std::to_string(length));
  }

  static std::string ChunkedHead() {
    return Head("Transfer-Encoding: chunked");
  }

  void Check(const body_crowd::part& part) {
    soak::soak_node& entry = *fleet_->EntryNodes()[0];
    CheckCrowd(entry, entry.callers, part);
    CPPUNIT_ASSERT_EQUAL(200, Status(0, "/look/", "after-crowd"));
  }

 public:
  void setUp() override {
    soak::soak_settings settings;
    settings.port = kPort;
    settings.entry_processes = 1;
    settings.endpoints = 1;
    settings.entry_memory_mb = kMemoryMb;
    StartFleet(settings, MARJORAMSILL_BINARY, MARJORAMSILL_FOLDER);
  }

  void whole_bodies_leave_memory_free() {
    Check({LengthHead(kLimit), std::string(kBlock, 'a'), kLimit - kMissing});
  }

  void slow_bodies_leave_memory_free() {
    Check({LengthHead(kLimit), std::string(kBlock / 2, 'a'), kLimit - kMissing,
           milliseconds(20)});
  }

  void large_chunks_leave_memory_free() {
    const std::string chunk = LargeChunk();
    Check({ChunkedHead(), chunk, kLimit / kBlock * chunk.size() - kMissing});
  }

  void small_chunks_leave_memory_free() {
    const std::string chunk = "1\r\na\r\n";
    std::string block;
    for (int i = 0; i < 10'000; ++i) block += chunk;
    Check({ChunkedHead(), block, (kLimit - kMissing) * chunk.size()});
  }

  void chunks_over_limit_leave_memory_free() {
    const std::string chunk = LargeChunk();
    Check({ChunkedHead(), chunk, 10 * kLimit / kBlock * chunk.size()});
  }

  // Guards against an entry process that runs out of memory because many
  // clients do not read their answers.
  void unread_answers_leave_memory_free() {
    raw_endpoint endpoint(io_, {"127.0.2.9", kPort + 9}, [this] {
      return fleet_->ControlNodes()[0]->control;
    });
    endpoint.SetAnswer(
        {"HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\n"
         "Server-Signature: raw\r\nContent-Length: " +
             std::to_string(kLongAnswer) + "\r\n\r\n" +
             std::string(kLongAnswer, 'a'),
         "", raw_end::kKeep});
    CPPUNIT_ASSERT(RunUntil([this] {
      return Status(0, "/raw-ask/", "long" + std::to_string(++number_)) == 200;
    }));
    const int before = endpoint.request_count();
    body_crowd::part part;
    part.head = "GET /raw-ask/crowd HTTP/1.1\r\nHost: soak.example\r\n\r\n";
    part.reads_answers = false;
    Check(part);
    CPPUNIT_ASSERT_EQUAL(before + kClients, endpoint.request_count());
  }

  void announced_over_limit_leave_memory_free() {
    Check({LengthHead(512 * kLimit), std::string(kBlock, 'a'), 2 * kLimit});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(body_crowd_test);

}  // namespace marjoramsill
