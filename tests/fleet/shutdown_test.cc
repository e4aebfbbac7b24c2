#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "trial_fleet.h"

namespace marjoramsill {

class shutdown_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(shutdown_test);
  CPPUNIT_TEST(shutdown_with_streams_in_flight_cuts_none_and_exits_zero);
  CPPUNIT_TEST(endpoint_leaving_gets_no_new_work_after_three_seconds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    running_ = std::make_unique<trial_fleet>();
    running_->StartAll();
  }
  void tearDown() override { running_.reset(); }

  // Guards against requests that are cut by a planned shutdown.
  void shutdown_with_streams_in_flight_cuts_none_and_exits_zero() {
    // The load ends before the listener closes: the load balancer would have
    // turned away by then. The streams take about 2 s each.
    running_->StartLoad({"--callers", trial_fleet::Callers(1), "--rate", "30",
                         "--seconds", "1", "--tokens", "400", "--bookings", "0",
                         "--deadline-ms", "60000"});
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    const int status =
        running_->Terminate(trial_fleet::VmName(1), std::chrono::seconds(60));
    CPPUNIT_ASSERT_EQUAL(0, status);
    std::string output;
    CPPUNIT_ASSERT_EQUAL(0, running_->WaitForLoad(&output));
    const auto result = nlohmann::json::parse(output);
    int sent = 0;
    int whole = 0;
    for (const auto& [name, rank] : result["ranks"].items()) {
      sent += rank["sent"].get<int>();
      whole += rank["whole"].get<int>();
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(output, sent, whole);
    // A second VM serves on.
    running_->StartLoad({"--callers", trial_fleet::Callers(2), "--rate", "20",
                         "--seconds", "1", "--bookings", "0"});
    CPPUNIT_ASSERT_EQUAL(0, running_->WaitForLoad(&output));
  }

  // Guards against work for an endpoint that has announced that it leaves.
  void endpoint_leaving_gets_no_new_work_after_three_seconds() {
    running_->StartLoad({"--callers", trial_fleet::Callers(6), "--rate", "60",
                         "--seconds", "8", "--bookings", "0", "--chats",
                         "400"});
    std::this_thread::sleep_for(std::chrono::seconds(1));
    // The endpoint exits 4 s after it has announced its leaving, when no
    // request runs; a request after that would fail.
    CPPUNIT_ASSERT_EQUAL(
        0, running_->Terminate("engine-2", std::chrono::seconds(30)));
    std::string output;
    CPPUNIT_ASSERT_EQUAL(0, running_->WaitForLoad(&output));
    const auto result = nlohmann::json::parse(output);
    for (const auto& [name, rank] : result["ranks"].items()) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(output, rank["sent"].get<int>(),
                                   rank["whole"].get<int>());
    }
  }

 private:
  // CppUnit constructs all fixtures before the first test runs.
  std::unique_ptr<trial_fleet> running_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(shutdown_test);

}  // namespace marjoramsill
