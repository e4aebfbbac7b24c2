#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "body_crowd.h"
#include "crowd_fixture.h"
#include "http_call.h"

namespace marjoramsill {

using std::chrono::milliseconds;

/// Guards against a control process that runs out of memory because many
/// clients leave the bodies of their requests unfinished.
class control_crowd_test : public crowd_fixture {
  CPPUNIT_TEST_SUITE(control_crowd_test);
  CPPUNIT_TEST(whole_bodies_leave_memory_free);
  CPPUNIT_TEST(slow_bodies_leave_memory_free);
  CPPUNIT_TEST(large_chunks_leave_memory_free);
  CPPUNIT_TEST(small_chunks_leave_memory_free);
  CPPUNIT_TEST(chunks_over_limit_leave_memory_free);
  CPPUNIT_TEST(announced_over_limit_leave_memory_free);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 17'800;
  /// Largest body that the control address takes.
  static constexpr std::size_t kLimit = std::size_t{16} * 1024 * 1024;
  static constexpr milliseconds kReadTimeout{5'000};

  static std::string Head(const std::string& framing) {
    return "PUT /config HTTP/1.1\r\nHost: crowd\r\n" + framing + "\r\n\r\n";
  }

  static std::string LengthHead(std::size_t length) {
    return Head("Content-Length: " + std::to_string(length));
  }

  static std::string ChunkedHead() {
    return Head("Transfer-Encoding: chunked");
  }

  /// Reads the document, as an operator does.
  int ReadStatus(const socket_address& control) {
    std::optional<int> status;
    soak::Call(io_, control, soak::RequestText("GET", "/config", {}, ""),
               kReadTimeout, [&status](const auto& response) {
                 status = response ? response->head.status : 0;
               });
    CPPUNIT_ASSERT(RunUntil([&status] { return status.has_value(); }));
    return *status;
  }

  void Check(const body_crowd::part& part) {
    soak::soak_node& control = *fleet_->ControlNodes()[0];
    CheckCrowd(control, control.control, part);
    CPPUNIT_ASSERT_EQUAL(200, ReadStatus(control.control));
  }

 public:
  void setUp() override {
    soak::soak_settings settings;
    settings.port = kPort;
    settings.entry_processes = 1;
    settings.endpoints = 1;
    settings.control_memory_mb = kMemoryMb;
    StartFleet(settings, MARJORAMSILL_BINARY, MARJORAMSILL_FOLDER);
  }

  void whole_bodies_leave_memory_free() {
    Check({LengthHead(kLimit), std::string(kBlock, 'a'), kLimit - kMissing});
  }

  void slow_bodies_leave_memory_free() {
    Check({LengthHead(kLimit), std::string(2 * kBlock, 'a'), kLimit - kMissing,
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
    Check({ChunkedHead(), block, (kLimit / 4 - kMissing) * chunk.size()});
  }

  void chunks_over_limit_leave_memory_free() {
    const std::string chunk = LargeChunk();
    Check({ChunkedHead(), chunk, 4 * kLimit / kBlock * chunk.size()});
  }

  void announced_over_limit_leave_memory_free() {
    Check({LengthHead(128 * kLimit), std::string(kBlock, 'a'), 2 * kLimit});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_crowd_test);

}  // namespace marjoramsill
