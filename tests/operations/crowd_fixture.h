#ifndef MARJORAMSILL_TESTS_OPERATIONS_CROWD_FIXTURE_H_
#define MARJORAMSILL_TESTS_OPERATIONS_CROWD_FIXTURE_H_

#include <cppunit/TestAssert.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <string>

#include "body_crowd.h"
#include "fleet_fixture.h"

namespace marjoramsill {

/// A process that gets many requests at once whose bodies are not finished, and
/// whose memory and descriptors are measured.
class crowd_fixture : public fleet_fixture {
 protected:
  static constexpr int kClients = 16;
  static constexpr int kMemoryMb = 48;
  /// Growth that leaves the process within `kMemoryMb`; without load it has
  /// less than 16 MB.
  static constexpr std::int64_t kMaxGrowthKb = std::int64_t{32} * 1024;
  static constexpr std::int64_t kMaxMoreDescriptors = kClients + 32;
  /// What a client leaves out at the end of its body.
  static constexpr std::size_t kMissing = 9;
  static constexpr std::size_t kBlock = std::size_t{64} * 1024;

  static std::string LargeChunk() {
    return "10000\r\n" + std::string(kBlock, 'a') + "\r\n";
  }

  /// The process lives and stays within its memory while the clients send their
  /// parts to this address, and shortly after.
  void CheckCrowd(soak::soak_node& node, const socket_address& to,
                  const body_crowd::part& part) {
    const std::int64_t memory = MemoryKb(node, "VmRSS:");
    const std::int64_t descriptors = Descriptors(node);
    CPPUNIT_ASSERT(memory > 0);
    crowd_ = std::make_unique<body_crowd>(io_, to, kClients, part);
    CPPUNIT_ASSERT(RunUntil([this] { return crowd_->IsDone(); }));
    RunFor(std::chrono::milliseconds(500));
    const std::int64_t growth = MemoryKb(node, "VmHWM:") - memory;
    std::cout << " grew by " << growth << " KB ";
    int status = 0;
    CPPUNIT_ASSERT_MESSAGE("ended", !node.process.HasEnded(status));
    CPPUNIT_ASSERT_MESSAGE("grew by " + std::to_string(growth) + " KB",
                           growth <= kMaxGrowthKb);
    CPPUNIT_ASSERT(Descriptors(node) <= descriptors + kMaxMoreDescriptors);
  }

  /// The clients, which stay connected to the end of the test.
  std::unique_ptr<body_crowd> crowd_;

 public:
  void tearDown() override {
    crowd_.reset();
    fleet_fixture::tearDown();
  }

 private:
  static std::string ProcessFolder(soak::soak_node& node) {
    return "/proc/" + std::to_string(node.process.id());
  }

  static std::int64_t MemoryKb(soak::soak_node& node,
                               const std::string& field) {
    std::ifstream status(ProcessFolder(node) + "/status");
    std::string word;
    while (status >> word) {
      std::int64_t kilobytes = 0;
      if (word == field && status >> kilobytes) return kilobytes;
    }
    return 0;
  }

  static std::int64_t Descriptors(soak::soak_node& node) {
    return static_cast<std::int64_t>(std::distance(
        std::filesystem::directory_iterator(ProcessFolder(node) + "/fd"), {}));
  }
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_OPERATIONS_CROWD_FIXTURE_H_
