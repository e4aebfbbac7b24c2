#include <cppunit/extensions/HelperMacros.h>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "connection/socket_address.h"
#include "test_fleet.h"

namespace marjoramsill {

/// Guards against a process that runs out of memory because many clients leave
/// the bodies of their requests unfinished.
class request_crowd_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(request_crowd_test);
  CPPUNIT_TEST(whole_bodies_leave_memory_free);
  CPPUNIT_TEST(small_chunks_leave_memory_free);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kClients = 16;
  static constexpr int kMemoryMb = 64;
  /// Growth that leaves the process within `kMemoryMb`; without load it has
  /// less than 24 MB.
  static constexpr std::int64_t kMaxGrowthKb = std::int64_t{40} * 1024;
  /// Largest body that the server reads.
  static constexpr std::size_t kLimit = std::size_t{16} * 1024 * 1024;
  static constexpr std::size_t kMissing = 9;

  std::unique_ptr<test_fleet> fleet_;
  asio::io_context io_;
  std::vector<asio::ip::tcp::socket> clients_;

  /// Connects the clients, which send these bytes and stay open.
  void SendAll(const std::string& bytes) {
    const auto address = ParseSocketAddress(test_fleet::Callers(1));
    for (int i = 0; i < kClients; ++i) {
      clients_.emplace_back(io_);
      std::error_code ignored;
      clients_.back().connect(
          {asio::ip::make_address(address->ip), address->port}, ignored);
      asio::write(clients_.back(), asio::buffer(bytes), ignored);
    }
  }

  void Check(const std::string& bytes) {
    const std::string vm = test_fleet::VmName(1);
    const std::int64_t memory = fleet_->MemoryKb(vm, "VmRSS:");
    CPPUNIT_ASSERT(memory > 0);
    SendAll(bytes);
    const std::int64_t growth = fleet_->MemoryKb(vm, "VmHWM:") - memory;
    CPPUNIT_ASSERT_MESSAGE("grew by " + std::to_string(growth) + " KB",
                           growth <= kMaxGrowthKb);
    std::string output;
    fleet_->StartLoad({"--callers", test_fleet::Callers(1), "--rate", "1",
                       "--seconds", "1", "--bookings", "0"});
    CPPUNIT_ASSERT_EQUAL_MESSAGE(output, 0, fleet_->WaitForLoad(&output));
  }

  static std::string Head(const std::string& framing) {
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: crowd\r\n" + framing +
           "\r\n\r\n";
  }

 public:
  void setUp() override {
    fleet_ = std::make_unique<test_fleet>(kMemoryMb);
    fleet_->StartAll();
  }

  void tearDown() override {
    clients_.clear();
    fleet_.reset();
  }

  void whole_bodies_leave_memory_free() {
    Check(Head("Content-Length: " + std::to_string(kLimit)) +
          std::string(kLimit - kMissing, 'a'));
  }

  void small_chunks_leave_memory_free() {
    std::string bytes = Head("Transfer-Encoding: chunked");
    for (std::size_t i = 0; i < kLimit / 4; ++i) bytes += "1\r\na\r\n";
    Check(bytes);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_crowd_test);

}  // namespace marjoramsill
