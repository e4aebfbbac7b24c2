#ifndef MARJORAMSILL_TESTS_OPERATIONS_RAW_POOL_FIXTURE_H_
#define MARJORAMSILL_TESTS_OPERATIONS_RAW_POOL_FIXTURE_H_

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fleet_fixture.h"
#include "raw_endpoint.h"

namespace marjoramsill {

/// An entry process in front of several raw endpoints, which all give the same
/// answers.
class raw_pool_fixture : public fleet_fixture {
 public:
  void tearDown() override {
    endpoints_.clear();
    fleet_fixture::tearDown();
  }

 protected:
  /// Returns once the entry process has found all endpoints. `error` is an
  /// answer with an error status.
  void StartRawPool(std::uint16_t port, int endpoints, const raw_answer& error,
                    const std::string& binary, const std::string& folder) {
    soak::soak_settings settings;
    settings.port = port;
    settings.entry_processes = 1;
    settings.endpoints = 1;
    StartFleet(settings, binary, folder);
    for (int i = 0; i < endpoints; ++i) {
      endpoints_.push_back(std::make_unique<raw_endpoint>(
          io_,
          socket_address{"127.0.2." + std::to_string(8 + i),
                         static_cast<std::uint16_t>(port + 9)},
          [this] { return fleet_->ControlNodes()[0]->control; },
          "raw-" + std::to_string(i)));
    }
    SetAnswers(error);
    // The route makes one attempt, which leaves the retry budget for the test.
    CPPUNIT_ASSERT(RunUntil([this] {
      Status(0, "/raw-ask/", "found" + std::to_string(++number_));
      RunFor(std::chrono::milliseconds(10));
      return std::all_of(
          endpoints_.begin(), endpoints_.end(),
          [](const auto& each) { return each->request_count() > 0; });
    }));
  }

  void SetAnswers(const raw_answer& answer) {
    for (const auto& each : endpoints_) each->SetAnswer(answer);
  }

  int RequestCount() const {
    int count = 0;
    for (const auto& each : endpoints_) count += each->request_count();
    return count;
  }

  std::vector<std::unique_ptr<raw_endpoint>> endpoints_;
  /// Number of the last request.
  int number_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_OPERATIONS_RAW_POOL_FIXTURE_H_
