#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "fleet_fixture.h"
#include "platform/field_names.h"

namespace marjoramsill {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Entry processes in front of endpoints that crash when they begin to answer a
/// request with a certain prompt part.
class crashing_part_test : public fleet_fixture {
  CPPUNIT_TEST_SUITE(crashing_part_test);
  CPPUNIT_TEST(crashing_part_at_every_entry_vm_stops_reaching_endpoints);
  CPPUNIT_TEST(crashing_parts_while_processes_restart_stay_refused);
  CPPUNIT_TEST(parts_of_endpoints_that_crash_by_themselves_are_served);
  CPPUNIT_TEST(part_unused_while_another_crashes_endpoints_is_served);
  CPPUNIT_TEST(crashing_part_with_other_companions_later_stays_refused);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 25'000;
  static constexpr int kEntries = 3;
  static constexpr milliseconds kSoundInterval{15};
  static constexpr milliseconds kCrashingInterval{150};
  /// `contactMs` of the users' deployments.
  static constexpr milliseconds kContactTime{3'000};
  static constexpr std::size_t kCountedCrashes = 5;
  static constexpr std::size_t kMaxRequestsAfter = 3;
  /// Sound requests that are sent beside crashing ones.
  static constexpr int kSoundBeside = 40;
  /// Sound requests of the second half must be served at least this often.
  static constexpr double kMinServedShare = 0.5;

  struct sound_counts {
    int sent = 0;
    int served = 0;
    int refused = 0;
  };

  std::mt19937_64 random_{20261204};
  int number_ = 0;

  static const char* AnyPath(std::uint64_t random) {
    static constexpr const char* kPaths[] = {"/prompt/", "/resumed-prompt/",
                                             "/ask/"};
    return kPaths[random % 3];
  }

  static http_field_list Prompt(const std::string& parts) {
    return {{platform::kModel, "m"},
            {platform::kTokens, "900,10"},
            {platform::kPromptParts, parts}};
  }

  /// Sound requests share the first part and one of a few subjects.
  void SendSound(const std::shared_ptr<sound_counts>& counts) {
    const std::string request = "sound-" + std::to_string(++number_);
    const std::string subject = "5b" + std::to_string(random_() % 6);
    ++counts->sent;
    Send(random_() % kEntries, AnyPath(random_()), request,
         Prompt("a0:400," + subject + ":300," + std::to_string(number_) +
                "e:50"),
         [counts](int status) {
           if (status == 200) ++counts->served;
           if (status == 503) ++counts->refused;
         });
  }

  /// The part stands first or in the middle of the prompt.
  void SendCrashing(const std::string& part) {
    const std::string request = "crashing-" + std::to_string(++number_);
    const std::string last = std::to_string(number_) + "f:50";
    const std::string subject = "5b" + std::to_string(random_() % 6) + ":300,";
    const std::string parts = random_() % 2 == 0
                                  ? part + ":300," + subject + last
                                  : "a0:400," + subject + part + ":300," + last;
    Send(random_() % kEntries, AnyPath(random_()), request, Prompt(parts),
         [](int) {});
  }

  /// Plays traffic with requests for `parts`, if there are any.
  sound_counts Play(milliseconds duration,
                    const std::vector<std::string>& parts) {
    const auto counts = std::make_shared<sound_counts>();
    const auto start = std::chrono::steady_clock::now();
    auto next_sound = start;
    auto next_crashing = start;
    RunUntil([&] {
      const auto now = std::chrono::steady_clock::now();
      if (now >= next_sound) {
        SendSound(counts);
        next_sound += kSoundInterval;
      }
      if (!parts.empty() && now >= next_crashing) {
        SendCrashing(parts[random_() % parts.size()]);
        next_crashing += kCrashingInterval;
      }
      return now - start >= duration;
    });
    RunFor(milliseconds(500));
    return *counts;
  }

  /// Requests that reached endpoints later than the contact time after the
  /// fifth crash.
  std::size_t RequestsAfterFifthCrash() const {
    const auto& crashes = ledger_.part_crashes();
    if (crashes.size() < kCountedCrashes) return 0;
    const auto end = crashes[kCountedCrashes - 1] + kContactTime;
    const auto& requests = ledger_.crashing_requests();
    return static_cast<std::size_t>(
        std::count_if(requests.begin(), requests.end(),
                      [end](auto time) { return time > end; }));
  }

  void PrintCounts(const sound_counts& sound) const {
    std::cout << " crashes " << ledger_.part_crashes().size() << ", requests "
              << ledger_.crashing_requests().size() << ", after the fifth "
              << RequestsAfterFifthCrash() << ", sound " << sound.sent
              << " served " << sound.served << " refused " << sound.refused
              << std::endl;
  }

 public:
  void setUp() override {
    soak::soak_settings settings;
    settings.port = kPort;
    settings.entry_processes = kEntries;
    settings.endpoints = 6;
    settings.software = {"v1"};
    settings.reaches_endpoints_directly = true;
    settings.renews_ids = true;
    StartFleet(settings, MARJORAMSILL_BINARY, MARJORAMSILL_FOLDER);
    Play(milliseconds(1'500), {});
  }

  // Guards against requests with one prompt part that crash endpoint after
  // endpoint, because no VM counts the ends that the others see.
  void crashing_part_at_every_entry_vm_stops_reaching_endpoints() {
    ledger_.AddCrashingPart("bad1");
    Play(milliseconds(6'000), {"bad1"});
    const sound_counts sound = Play(milliseconds(6'000), {"bad1"});
    PrintCounts(sound);
    CPPUNIT_ASSERT(RequestsAfterFifthCrash() <= kMaxRequestsAfter);
    CPPUNIT_ASSERT(sound.served >= kMinServedShare * sound.sent);
  }

  // Guards against a refusal that is lost with the processes that knew of it.
  void crashing_parts_while_processes_restart_stay_refused() {
    ledger_.AddCrashingPart("bad1");
    Play(milliseconds(4'000), {"bad1"});
    for (std::size_t i = 0; i < 3; ++i) RestartControl(i);
    RestartEntry(0);
    Play(milliseconds(3'000), {"bad1"});
    RestartEntry(1);
    RestartEntry(2);
    const sound_counts sound = Play(milliseconds(5'000), {"bad1"});
    PrintCounts(sound);
    CPPUNIT_ASSERT(RequestsAfterFifthCrash() <= kMaxRequestsAfter);
    CPPUNIT_ASSERT(sound.served >= kMinServedShare * sound.sent);
  }

  // Guards against parts that are refused because their endpoints crashed for
  // another reason.
  void parts_of_endpoints_that_crash_by_themselves_are_served() {
    for (int round = 0; round < 4; ++round) {
      for (std::size_t i = 0; i < 3; ++i) {
        soak::fake_endpoint* endpoint = fleet_->endpoints()[i].get();
        RunAfter(milliseconds(200), [endpoint] { endpoint->Crash(); });
        RunAfter(milliseconds(700), [endpoint] { endpoint->Start(); });
      }
      Play(milliseconds(1'000), {});
    }
    const sound_counts sound = Play(milliseconds(1'500), {});
    PrintCounts(sound);
    CPPUNIT_ASSERT_EQUAL(sound.sent, sound.served);
  }

  // Guards against a sound part that is refused for ten minutes, because nobody
  // used it while another part of the same requests crashed endpoints.
  void part_unused_while_another_crashes_endpoints_is_served() {
    ledger_.AddCrashingPart("bad1");
    PlayCrashing("a1:400,bad1:300,", 2 * kContactTime + seconds(3));
    CPPUNIT_ASSERT(ledger_.part_crashes().size() >= kCountedCrashes);
    const sound_counts sound = PlaySoundBeside("a1:400,bad1:300,", "a1:400,");
    PrintCounts(sound);
    CPPUNIT_ASSERT(RequestsAfterFifthCrash() <= kMaxRequestsAfter);
    CPPUNIT_ASSERT(sound.served >= kMinServedShare * sound.sent);
  }

  // Guards against trials that let a part at fault crash endpoint after
  // endpoint, because it comes with other parts than before.
  void crashing_part_with_other_companions_later_stays_refused() {
    ledger_.AddCrashingPart("bad1");
    PlayCrashing("bad1:300,a1:400,", 2 * kContactTime);
    for (int i = 0; i < 20; ++i) {
      PlayCrashing("bad1:300,c" + std::to_string(i) + ":400,",
                   milliseconds(600));
    }
    const sound_counts sound = PlaySoundBeside("bad1:300,d1:400,", "a1:400,");
    PrintCounts(sound);
    CPPUNIT_ASSERT(RequestsAfterFifthCrash() <= kMaxRequestsAfter);
    CPPUNIT_ASSERT(sound.served >= kMinServedShare * sound.sent);
  }

 private:
  /// Sends a request with these parts and a last one of its own.
  void SendWithParts(const std::string& parts,
                     const std::function<void(int)>& done) {
    const std::string number = std::to_string(++number_);
    Send(random_() % kEntries, AnyPath(random_()), "parts-" + number,
         Prompt(parts + number + "f:50"), done);
  }

  void PlayCrashing(const std::string& parts, milliseconds duration) {
    const auto end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end) {
      SendWithParts(parts, [](int /*status*/) {});
      RunFor(kCrashingInterval);
    }
  }

  /// Sound requests with some parts, beside requests with others.
  sound_counts PlaySoundBeside(const std::string& crashing,
                               const std::string& sound) {
    const auto counts = std::make_shared<sound_counts>();
    for (int i = 0; i < kSoundBeside; ++i) {
      SendWithParts(crashing, [](int /*status*/) {});
      ++counts->sent;
      SendWithParts(sound, [counts](int status) {
        if (status == 200) ++counts->served;
        if (status == 503) ++counts->refused;
      });
      RunFor(kCrashingInterval);
    }
    RunFor(milliseconds(500));
    return *counts;
  }

  void RunAfter(milliseconds delay, std::function<void()> action) {
    auto timer = std::make_shared<asio::steady_timer>(io_, delay);
    timer->async_wait(
        [timer, action = std::move(action)](std::error_code) { action(); });
  }

  void RestartControl(std::size_t index) {
    soak::soak_node& node = *fleet_->ControlNodes()[index];
    node.is_end_expected = true;
    fleet_->KillNode(node, false);
    RunFor(milliseconds(200));
    fleet_->StartNode(node);
    RunFor(milliseconds(1'200));
  }

  void RestartEntry(std::size_t index) {
    soak::soak_node& node = *fleet_->EntryNodes()[index];
    node.is_end_expected = true;
    fleet_->KillNode(node, false);
    RunFor(milliseconds(100));
    fleet_->StartNode(node);
    RunFor(milliseconds(1'000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crashing_part_test);

}  // namespace marjoramsill
