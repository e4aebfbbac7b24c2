#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "test_fleet.h"

namespace marjoramsill {

class fleet_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fleet_test);
  CPPUNIT_TEST(
      fleet_leader_and_domain_killed_responses_stay_complete_and_unique);
  CPPUNIT_TEST(fleet_all_vms_killed_document_is_restored_unchanged);
  CPPUNIT_TEST(fleet_majority_lost_booking_is_refused_as_not_run);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    fleet_ = std::make_unique<test_fleet>();
    fleet_->StartAll();
  }
  void tearDown() override { fleet_.reset(); }

  // Guards against lost, duplicated, mixed-up or truncated responses and
  // against a lost policy change when the leader is killed, followed by all VMs
  // and engines of its failure domain.
  void fleet_leader_and_domain_killed_responses_stay_complete_and_unique() {
    fleet_->StartLoad({"--callers", AllCallers(), "--rate", "60", "--seconds",
                       "14", "--tokens", "12"});
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const int leader = fleet_->Leader(1);
    CPPUNIT_ASSERT(leader != 0);
    fleet_->Kill(test_fleet::VmName(leader));
    const int other = leader == 2 ? 3 : 2;
    const std::string new_limits =
        "tokens_per_second: 2000000\nconcurrent_requests: 1000\n";
    CPPUNIT_ASSERT(test_fleet::WaitUntil([&] {
      return fleet_->Submit("workspaces/club", new_limits, 2, other) == 0;
    }));
    std::this_thread::sleep_for(std::chrono::seconds(1));
    KillDomain(leader);
    std::string output;
    const int status = fleet_->WaitForLoad(&output);
    const auto result = nlohmann::json::parse(output);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(output, 0, status);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(output, 0, result["doubled"].get<int>());
    CPPUNIT_ASSERT_EQUAL(0, result["crossed"].get<int>());
    CPPUNIT_ASSERT_EQUAL(0, result["truncated"].get<int>());
    CPPUNIT_ASSERT_EQUAL(0, result["ran_after_not_run"].get<int>());
    CPPUNIT_ASSERT(result["ranks"]["urgent"]["whole"].get<int>() > 0);
    for (int i = 1; i <= test_fleet::kVms; ++i) {
      if (InDomainOf(i, leader)) continue;
      CPPUNIT_ASSERT(
          test_fleet::WaitUntil([&] { return fleet_->VersionOf(i) == 5; }));
      CPPUNIT_ASSERT_EQUAL(new_limits, fleet_->Section("workspaces/club", i));
    }
  }

  // Guards against a document that is lost or altered when every process is
  // killed after many changes.
  void fleet_all_vms_killed_document_is_restored_unchanged() {
    std::string last;
    for (std::uint64_t i = 0; i < 20; ++i) {
      last = "# change " + std::to_string(i) +
             "\r\ntokens_per_second:   " + std::to_string(1000000 + i) +
             "\nconcurrent_requests: 1000\n\n";
      const std::uint64_t base = i == 0 ? 2 : 4 + i;
      CPPUNIT_ASSERT_EQUAL(0, fleet_->Submit("workspaces/club", last, base, 1));
    }
    for (int i = 1; i <= test_fleet::kVms; ++i) {
      fleet_->Kill(test_fleet::VmName(i));
    }
    for (int i = 1; i <= test_fleet::kVms; ++i) fleet_->StartVm(i);
    for (int i = 1; i <= test_fleet::kVms; ++i) {
      CPPUNIT_ASSERT(
          test_fleet::WaitUntil([&] { return fleet_->VersionOf(i) == 24; }));
      CPPUNIT_ASSERT_EQUAL(last, fleet_->Section("workspaces/club", i));
    }
  }

  // Guards against a booking that runs without a durable claim, and against a
  // false "not run" response, when the control group has lost its majority.
  void fleet_majority_lost_booking_is_refused_as_not_run() {
    for (const int i : {1, 2, 3}) fleet_->Kill(test_fleet::VmName(i));
    const std::string before = std::to_string(fleet_->Runs().size());
    std::string output;
    fleet_->StartLoad({"--callers", test_fleet::Callers(6), "--rate", "2",
                       "--seconds", "3", "--bookings", "1"});
    CPPUNIT_ASSERT_EQUAL(0, fleet_->WaitForLoad(&output));
    const auto result = nlohmann::json::parse(output);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(output, 0, result["bookings_run"].get<int>());
    CPPUNIT_ASSERT_EQUAL(before, std::to_string(fleet_->Runs().size()));
    // Chats are still served without a majority.
    fleet_->StartLoad({"--callers", test_fleet::Callers(6), "--rate", "20",
                       "--seconds", "2", "--bookings", "0"});
    CPPUNIT_ASSERT_EQUAL(0, fleet_->WaitForLoad(&output));
    const auto chats = nlohmann::json::parse(output);
    CPPUNIT_ASSERT(chats["ranks"]["standard"]["whole"].get<int>() > 0);
  }

 private:
  static bool InDomainOf(int vm, int other) { return vm % 3 == other % 3; }

  void KillDomain(int vm) {
    for (int i = 1; i <= test_fleet::kVms; ++i) {
      if (InDomainOf(i, vm)) fleet_->Kill(test_fleet::VmName(i));
    }
    for (int i = 0; i < 9; ++i) {
      if (InDomainOf(i + 1, vm)) fleet_->Kill("engine-" + std::to_string(i));
    }
  }

  static std::string AllCallers() {
    std::string all;
    for (int i = 1; i <= test_fleet::kVms; ++i) {
      all += (i == 1 ? "" : ",") + test_fleet::Callers(i);
    }
    return all;
  }

  // CppUnit constructs all fixtures before the first test runs.
  std::unique_ptr<test_fleet> fleet_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_test);

}  // namespace marjoramsill
