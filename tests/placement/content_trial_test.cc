#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <vector>

#include "crash_model.h"

namespace marjoramsill {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Sound requests that share a part with requests which crash endpoints.
class content_trial_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(content_trial_test);
  CPPUNIT_TEST(part_unused_while_another_crashes_endpoints_is_served);
  CPPUNIT_TEST(two_unused_parts_beside_a_crashing_one_are_served);
  CPPUNIT_TEST(unused_part_is_served_after_a_restart_of_all_vms);
  CPPUNIT_TEST(unused_part_beside_two_crashing_ones_is_served);
  CPPUNIT_TEST(crashing_part_with_other_companions_later_stays_refused);
  CPPUNIT_TEST(any_schedule_clears_sound_parts_and_bounds_crashing_ones);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t kFirst = crash_model::kFirstFree;
  static constexpr std::uint64_t kSecond = kFirst + 1;
  static constexpr std::uint64_t kCrashing = kFirst + 2;
  static constexpr std::uint64_t kOtherCrashing = kFirst + 3;
  static constexpr std::uint64_t kSubjects = kFirst + 10;
  static constexpr std::size_t kCountedCrashes = 5;
  static constexpr std::size_t kMaxRequestsAfter = 3;
  /// Sound requests come again this long after the first crash, two contact
  /// times after the fifth one.
  static constexpr seconds kReturn{16};
  static constexpr seconds kMeasured{10};

  struct schedule {
    std::vector<std::uint64_t> companions{kFirst};
    milliseconds interval{400};
    bool has_other_crashing = false;
    bool changes_companions = false;
    bool restarts = false;
    bool resets_links = false;
  };

  static crash_model::prompt CrashingPrompt(const schedule& play,
                                            milliseconds at,
                                            std::uint64_t random) {
    crash_model::prompt parts;
    const bool is_other = play.has_other_crashing && random % 2 == 0;
    parts.emplace_back(is_other ? kOtherCrashing : kCrashing);
    if (play.changes_companions && at > seconds(8)) {
      parts.emplace_back(kSubjects + 100 + random % 1'000);
      return parts;
    }
    for (const std::uint64_t each : play.companions) parts.emplace_back(each);
    return parts;
  }

  /// About five sound requests a second with the companions.
  static crash_model::prompt SoundPrompt(const schedule& play, milliseconds at,
                                         std::uint64_t random) {
    crash_model::prompt parts;
    if (at < kReturn || random % 64 != 0) return parts;
    for (const std::uint64_t each : play.companions) parts.emplace_back(each);
    parts.emplace_back(kSubjects + random / 64 % 6);
    return parts;
  }

  /// Half of the VMs lose all links for 1.4 s, every 4 s.
  static bool ResetLinks(std::size_t vm, std::size_t /*endpoint*/,
                         milliseconds at) {
    return vm % 2 == 0 || at % seconds(4) >= milliseconds(1'400);
  }

  static bool IsKept(const schedule& play) {
    crash_model::settings settings;
    settings.crash_interval = play.interval;
    settings.crashing_prompt = [play](milliseconds at, std::uint64_t random) {
      return CrashingPrompt(play, at, random);
    };
    settings.sound_prompt = [play](milliseconds at, std::uint64_t random) {
      return SoundPrompt(play, at, random);
    };
    if (play.resets_links) settings.has_link = ResetLinks;
    crash_model model(settings);
    model.Run(kReturn - seconds(2));
    if (play.restarts) model.RestartVms();
    model.Run(seconds(2));
    model.ResetCounts();
    model.Run(kMeasured);
    const std::size_t late = std::max(
        model.ReachedAfter(kCountedCrashes, content_digest(kCrashing)),
        model.ReachedAfter(kCountedCrashes, content_digest(kOtherCrashing)));
    std::cout << " companions " << play.companions.size() << ", interval "
              << play.interval.count() << " ms, two crashing "
              << play.has_other_crashing << ", changes "
              << play.changes_companions << ", restart " << play.restarts
              << ", links " << play.resets_links << ": crashes "
              << model.crashes() << ", late " << late << ", sound "
              << model.sent_sound() << " refused " << model.refused_sound()
              << std::endl;
    return model.crashes() > 0 && late <= kMaxRequestsAfter &&
           model.sent_sound() > 0 &&
           2 * model.refused_sound() <= model.sent_sound();
  }

 public:
  // Guards against a sound part that is refused for ten minutes, because it had
  // no answer while another part of the same requests crashed endpoints.
  void part_unused_while_another_crashes_endpoints_is_served() {
    CPPUNIT_ASSERT(IsKept({}));
  }

  void two_unused_parts_beside_a_crashing_one_are_served() {
    schedule play;
    play.companions = {kFirst, kSecond};
    CPPUNIT_ASSERT(IsKept(play));
  }

  // Guards against a remedy that needs what a VM remembers of its answers.
  void unused_part_is_served_after_a_restart_of_all_vms() {
    schedule play;
    play.restarts = true;
    CPPUNIT_ASSERT(IsKept(play));
  }

  // Guards against a sound part whose ends no other part explains alone.
  void unused_part_beside_two_crashing_ones_is_served() {
    schedule play;
    play.has_other_crashing = true;
    CPPUNIT_ASSERT(IsKept(play));
  }

  // Guards against trials that let a part at fault reach endpoint after
  // endpoint.
  void crashing_part_with_other_companions_later_stays_refused() {
    schedule play;
    play.changes_companions = true;
    CPPUNIT_ASSERT(IsKept(play));
  }

  // Guards against orders of crashes, companions, restarts and lost links in
  // which sound content stays refused, or content at fault is sent on.
  void any_schedule_clears_sound_parts_and_bounds_crashing_ones() {
    const bool is_kept =
        rc::check("sound parts are served, crashing ones are not", [] {
          schedule play;
          if (*rc::gen::arbitrary<bool>()) play.companions.push_back(kSecond);
          play.interval = milliseconds(*rc::gen::inRange(100, 1'000));
          play.has_other_crashing = *rc::gen::arbitrary<bool>();
          play.changes_companions = *rc::gen::arbitrary<bool>();
          play.restarts = *rc::gen::arbitrary<bool>();
          play.resets_links = *rc::gen::arbitrary<bool>();
          RC_ASSERT(IsKept(play));
        });
    CPPUNIT_ASSERT(is_kept);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(content_trial_test);

}  // namespace marjoramsill
