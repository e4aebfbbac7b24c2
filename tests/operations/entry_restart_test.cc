#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet_fixture.h"
#include "http_call.h"

namespace marjoramsill {

using std::chrono::milliseconds;
using clock_type = std::chrono::steady_clock;

/// All entry processes restart at once, after endpoints were replaced many
/// times. Control processes send at a rate bounded by their links.
class entry_restart_test : public fleet_fixture {
  CPPUNIT_TEST_SUITE(entry_restart_test);
  CPPUNIT_TEST(restarted_entry_processes_serve_in_time_after_many_ends);
  CPPUNIT_TEST(
      restarted_entry_processes_serve_in_time_with_one_control_restart);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 16'000;
  static constexpr std::size_t kEntries = 12;
  static constexpr std::size_t kEndpoints = 6;
  static constexpr int kEnded = 200;
  static constexpr int kParallel = 20;
  static constexpr milliseconds kAnswerTimeout{3'000};
  static constexpr milliseconds kDownTime{300};
  static constexpr milliseconds kInterval{20};
  /// From the start of an entry process to the first request that it serves.
  static constexpr milliseconds kMaxFirstServed{1'500};
  /// From then on this share of the requests is served.
  static constexpr milliseconds kMaxRecovery{3'000};
  static constexpr double kMinServed = 0.95;

  void Call(const std::string& method, const std::string& id,
            const std::string& body) {
    ++open_calls_;
    soak::Call(io_, fleet_->ControlNodes()[0]->control,
               soak::RequestText(method, "/instances/" + id, {}, body),
               kAnswerTimeout,
               [this](const std::optional<soak::http_response>& response) {
                 --open_calls_;
                 acknowledged_ += response && response->head.status == 200;
               });
  }

  void AwaitCalls() {
    CPPUNIT_ASSERT(RunUntil([this] { return open_calls_ == 0; }));
  }

  /// Endpoints that announced themselves and have ended since.
  void ReplaceEndpoints() {
    for (int i = 0; i < kEnded; ++i) {
      const std::string number = std::to_string(i);
      const std::string id = "i-replaced" + number;
      const std::string address = "127.0.3." + std::to_string(i / 100 + 1) +
                                  ":" + std::to_string(20'000 + i);
      Call("PUT", id,
           R"({"service":"svc","address":")" + address +
               R"(","zone":"d0","version":"v0","slots":32,"state":"draining",)"
               R"("coldRemainingMs":0,"sequence":1,"born":17000000)" +
               std::to_string(10'000 + i) + "}");
      if (i % kParallel == kParallel - 1) AwaitCalls();
    }
    for (int i = 0; i < kEnded; ++i) {
      Call("DELETE", "i-replaced" + std::to_string(i), "");
      if (i % kParallel == kParallel - 1) AwaitCalls();
    }
    CPPUNIT_ASSERT_EQUAL(2 * kEnded, acknowledged_);
  }

  void Restart(const std::vector<soak::soak_node*>& nodes) {
    for (soak::soak_node* node : nodes) {
      node->is_end_expected = true;
      fleet_->KillNode(*node, false);
    }
    RunFor(kDownTime);
    for (soak::soak_node* node : nodes) fleet_->StartNode(*node);
    started_ = clock_type::now();
  }

  void SendTo(std::size_t entry) {
    const auto sent = clock_type::now();
    Send(entry, "/look/", "r" + std::to_string(++number_), {},
         [this, entry, sent](int status) {
           const bool is_served = status == 200;
           if (is_served && !first_served_[entry]) {
             first_served_[entry] = clock_type::now();
           }
           if (sent - started_ < kMaxRecovery) return;
           ++late_sent_;
           late_served_ += is_served;
         });
  }

  /// Callers send to all entry processes all the while.
  void CheckRecovery() {
    const auto end = started_ + kMaxRecovery + milliseconds(2'000);
    std::size_t entry = 0;
    while (clock_type::now() < end) {
      for (int i = 0; i < 4; ++i) SendTo(entry++ % kEntries);
      RunFor(kInterval);
    }
    RunFor(milliseconds(500));
    milliseconds slowest{0};
    for (const auto& first : first_served_) {
      const auto served = first.value_or(clock_type::now());
      slowest = std::max(
          slowest, std::chrono::duration_cast<milliseconds>(served - started_));
    }
    std::cout << " first served within " << slowest.count() << " ms, then "
              << late_served_ << " of " << late_sent_ << std::endl;
    CPPUNIT_ASSERT(slowest <= kMaxFirstServed);
    CPPUNIT_ASSERT(late_served_ >= kMinServed * late_sent_);
  }

  clock_type::time_point started_;
  std::vector<std::optional<clock_type::time_point>> first_served_;
  int number_ = 0;
  int open_calls_ = 0;
  int acknowledged_ = 0;
  int late_sent_ = 0;
  int late_served_ = 0;

 public:
  void setUp() override {
    soak::soak_settings settings;
    settings.port = kPort;
    settings.entry_processes = kEntries;
    settings.endpoints = kEndpoints;
    settings.software = {"v1"};
    StartFleet(settings, MARJORAMSILL_BINARY, MARJORAMSILL_FOLDER);
    first_served_.resize(kEntries);
    ReplaceEndpoints();
    RunFor(milliseconds(3'000));
  }

  // Guards against endpoints that serve waiting behind records of ended ones.
  void restarted_entry_processes_serve_in_time_after_many_ends() {
    Restart(fleet_->EntryNodes());
    CheckRecovery();
  }

  void restarted_entry_processes_serve_in_time_with_one_control_restart() {
    std::vector<soak::soak_node*> killed = fleet_->EntryNodes();
    killed.push_back(fleet_->ControlNodes()[0]);
    Restart(killed);
    CheckRecovery();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_restart_test);

}  // namespace marjoramsill
