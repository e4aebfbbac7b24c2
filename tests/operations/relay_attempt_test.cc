#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iostream>
#include <string>
#include <vector>

#include "fleet_fixture.h"

namespace marjoramsill {

using std::chrono::milliseconds;

/// Requests that one entry process hands on to another while the endpoints
/// hold them without an answer. The route allows two attempts.
class relay_attempt_test : public fleet_fixture {
  CPPUNIT_TEST_SUITE(relay_attempt_test);
  CPPUNIT_TEST(attempts_of_a_vm_that_answers_late_count_at_the_vm_in_front);
  CPPUNIT_TEST(attempts_of_a_vm_that_loses_its_links_count_at_the_vm_in_front);
  CPPUNIT_TEST(attempts_of_a_vm_that_is_killed_count_at_the_vm_in_front);
  CPPUNIT_TEST(attempt_that_ends_with_own_links_counts);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 32'500;
  static constexpr std::size_t kEntries = 4;
  static constexpr int kMaxAttempts = 2;
  static constexpr int kRequests = 8;
  /// An entry process finds its lost links, and others that take its requests,
  /// within this time.
  static constexpr milliseconds kFindingTime{1'000};
  static constexpr milliseconds kSendInterval{15};
  /// Endpoints are silent for longer than an entry process waits for another
  /// one, and for less than the time limit of the route.
  static constexpr milliseconds kSilence{1'700};
  /// A second attempt begins this long after the first one at the earliest.
  static constexpr milliseconds kResponseTimeout{600};

  int number_ = 0;
  int ended_ = 0;
  int served_ = 0;

  void SendOne(std::size_t entry, const std::string& name) {
    Send(entry, "/look/", name + std::to_string(++number_), {},
         [this](int status) {
           ++ended_;
           served_ += status == 200;
         });
  }

  void SendFor(milliseconds time) {
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
      SendOne(static_cast<std::size_t>(number_) % kEntries, "other");
      RunFor(kSendInterval);
    }
  }

  void Cut(std::size_t count) {
    std::vector<soak::soak_node*> cut = fleet_->EntryNodes();
    cut.resize(count);
    fleet_->CutFromEndpoints(cut, soak::cut_form::kSilent);
    SendFor(kFindingTime);
  }

  void SetSilent(bool is_silent) {
    for (const auto& each : fleet_->endpoints()) each->SetSilent(is_silent);
  }

  /// Sends requests to the first entry process, whose endpoints are silent from
  /// now on, and calls `disturb` after `delay`.
  template <class Action>
  void CheckAttempts(milliseconds delay, const Action& disturb) {
    RunFor(kSendInterval);
    ended_ = 0;
    served_ = 0;
    SetSilent(true);
    const int first = number_ + 1;
    for (int i = 0; i < kRequests; ++i) SendOne(0, "counted");
    RunFor(delay);
    disturb();
    RunFor(kSilence - delay);
    SetSilent(false);
    CPPUNIT_ASSERT(RunUntil([this] { return ended_ == kRequests; }));
    int most = 0;
    int over = 0;
    for (int i = first; i < first + kRequests; ++i) {
      const int runs = ledger_.CountRuns("counted" + std::to_string(i));
      most = std::max(most, runs);
      over += runs > kMaxAttempts;
    }
    std::cout << " served " << served_ << " of " << kRequests << ", " << over
              << " ran more than " << kMaxAttempts << " times, at most " << most
              << std::endl;
    RunFor(milliseconds(300));
    CPPUNIT_ASSERT(most > 0);
    CPPUNIT_ASSERT_EQUAL(0, over);
  }

 public:
  void setUp() override {
    soak::soak_settings settings;
    settings.port = kPort;
    settings.entry_processes = kEntries;
    settings.software = {"v1"};
    StartFleet(settings, MARJORAMSILL_BINARY, MARJORAMSILL_FOLDER);
    SendFor(kFindingTime);
  }

  void attempts_of_a_vm_that_answers_late_count_at_the_vm_in_front() {
    Cut(1);
    CheckAttempts(milliseconds(0), [] {});
    CPPUNIT_ASSERT_EQUAL(kRequests, served_);
  }

  void attempts_of_a_vm_that_loses_its_links_count_at_the_vm_in_front() {
    Cut(1);
    CheckAttempts(kResponseTimeout / 2, [this] {
      std::vector<soak::soak_node*> cut = fleet_->EntryNodes();
      cut.pop_back();
      fleet_->CutFromEndpoints(cut, soak::cut_form::kReset);
    });
  }

  void attempts_of_a_vm_that_is_killed_count_at_the_vm_in_front() {
    Cut(1);
    CheckAttempts(kResponseTimeout * 4 / 3, [this] {
      for (std::size_t i = 1; i + 1 < kEntries; ++i) {
        fleet_->KillNode(*fleet_->EntryNodes()[i], false);
      }
    });
  }

  void attempt_that_ends_with_own_links_counts() {
    CheckAttempts(kResponseTimeout / 6, [this] {
      fleet_->CutFromEndpoints({fleet_->EntryNodes().front()},
                               soak::cut_form::kSilent);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_attempt_test);

}  // namespace marjoramsill
