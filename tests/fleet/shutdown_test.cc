#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "test_fleet.h"

namespace marjoramsill {

class shutdown_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(shutdown_test);
  CPPUNIT_TEST(shutdown_with_streams_in_flight_cuts_none_and_exits_zero);
  CPPUNIT_TEST(leaving_endpoint_receives_no_new_requests_after_three_seconds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    fleet_ = std::make_unique<test_fleet>();
    fleet_->StartAll();
  }
  void tearDown() override { fleet_.reset(); }

  // Guards against requests that are interrupted by a planned shutdown.
  void shutdown_with_streams_in_flight_cuts_none_and_exits_zero() {
    // No request is sent after the listener closes, because by then a load
    // balancer would have removed the VM. Each stream takes about 2 s.
    fleet_->StartLoad({"--callers", test_fleet::Callers(1), "--rate", "30",
                       "--seconds", "1", "--tokens", "400", "--bookings", "0",
                       "--deadline-ms", "60000"});
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    const int status =
        fleet_->Terminate(test_fleet::VmName(1), std::chrono::seconds(60));
    CPPUNIT_ASSERT_EQUAL(0, status);
    std::string output;
    CPPUNIT_ASSERT_EQUAL(0, fleet_->WaitForLoad(&output));
    const auto result = nlohmann::json::parse(output);
    int sent = 0;
    int complete = 0;
    for (const auto& [name, rank] : result["ranks"].items()) {
      sent += rank["sent"].get<int>();
      complete += rank["whole"].get<int>();
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(output, sent, complete);
    // Another VM still serves requests.
    fleet_->StartLoad({"--callers", test_fleet::Callers(2), "--rate", "20",
                       "--seconds", "1", "--bookings", "0"});
    CPPUNIT_ASSERT_EQUAL(0, fleet_->WaitForLoad(&output));
  }

  // Guards against requests sent to an endpoint that has announced that it
  // leaves.
  void leaving_endpoint_receives_no_new_requests_after_three_seconds() {
    fleet_->StartLoad({"--callers", test_fleet::Callers(6), "--rate", "60",
                       "--seconds", "8", "--bookings", "0", "--chats", "400"});
    std::this_thread::sleep_for(std::chrono::seconds(1));
    // The endpoint exits at the earliest 4 s after it announced that it leaves,
    // once no request is running; a request sent later would fail.
    CPPUNIT_ASSERT_EQUAL(
        0, fleet_->Terminate("engine-2", std::chrono::seconds(30)));
    std::string output;
    CPPUNIT_ASSERT_EQUAL(0, fleet_->WaitForLoad(&output));
    const auto result = nlohmann::json::parse(output);
    for (const auto& [name, rank] : result["ranks"].items()) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(output, rank["sent"].get<int>(),
                                   rank["whole"].get<int>());
    }
  }

 private:
  // CppUnit constructs all fixtures before the first test runs.
  std::unique_ptr<test_fleet> fleet_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(shutdown_test);

}  // namespace marjoramsill
