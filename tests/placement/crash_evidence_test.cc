#include "process/entry/crash_evidence.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <iostream>
#include <string>
#include <utility>

#include "crash_model.h"

namespace marjoramsill {

using std::chrono::milliseconds;
using std::chrono::seconds;

class crash_evidence_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(crash_evidence_test);
  CPPUNIT_TEST(links_reset_again_and_again_refuse_no_content);
  CPPUNIT_TEST(links_reset_without_control_refuse_no_content);
  CPPUNIT_TEST(links_reset_refuse_content_if_every_refusal_counts);
  CPPUNIT_TEST(long_loss_of_one_link_refuses_no_content);
  CPPUNIT_TEST(crashing_part_is_refused);
  CPPUNIT_TEST(crashing_part_is_refused_while_links_fail);
  CPPUNIT_TEST(crashing_part_is_refused_without_control);
  CPPUNIT_TEST(identical_crashing_request_is_refused);
  CPPUNIT_TEST(identical_crashing_request_is_refused_while_links_fail);
  CPPUNIT_TEST(domain_that_is_cut_off_is_no_crash);
  CPPUNIT_TEST(report_from_before_the_crash_is_no_sign_of_life);
  CPPUNIT_TEST_SUITE_END();

  static constexpr milliseconds kCrashInterval{150};
  static constexpr std::size_t kMaxRequestsAfter = 3;

  /// Half of the VMs lose all links for 1.4 s, every 2.5 s.
  static bool ResetLinks(std::size_t vm, std::size_t /*endpoint*/,
                         milliseconds at) {
    return vm % 2 == 0 || at < seconds(3) ||
           at % milliseconds(2'500) >= milliseconds(1'400);
  }

  static void Print(const char* name, const crash_model& model) {
    std::cout << " " << name << ": broken " << model.broken() << ", crashes "
              << model.crashes() << ", sound " << model.sent_sound()
              << " refused " << model.refused_sound() << ", trials "
              << model.trials() << std::endl;
  }

  static crash_model::settings ResettingLinks() {
    crash_model::settings settings;
    settings.has_link = ResetLinks;
    return settings;
  }

  static void CheckNotRefused(crash_model::settings settings,
                              const char* name) {
    crash_model model(std::move(settings));
    model.Run(seconds(60));
    Print(name, model);
    CPPUNIT_ASSERT(model.broken() > 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, model.refused_sound());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, model.trials());
  }

  static void CheckStopped(crash_model::settings settings, std::size_t crash,
                           const char* name) {
    settings.crash_interval = kCrashInterval;
    crash_model model(std::move(settings));
    model.Run(seconds(12));
    model.ResetCounts();
    model.Run(seconds(18));
    Print(name, model);
    std::cout << " reached later " << model.ReachedAfter(crash) << std::endl;
    CPPUNIT_ASSERT(model.crashes() >= crash);
    CPPUNIT_ASSERT(model.ReachedAfter(crash) <= kMaxRequestsAfter);
    CPPUNIT_ASSERT(2 * model.refused_sound() <= model.sent_sound());
  }

 public:
  // Guards against broken links that count as crashes of endpoints.
  void links_reset_again_and_again_refuse_no_content() {
    CheckNotRefused(ResettingLinks(), "links");
  }

  void links_reset_without_control_refuse_no_content() {
    crash_model::settings settings = ResettingLinks();
    settings.has_answers = false;
    CheckNotRefused(std::move(settings), "links, no answers");
  }

  // Guards against a model whose broken links could not cause refusals.
  void links_reset_refuse_content_if_every_refusal_counts() {
    crash_model::settings settings = ResettingLinks();
    settings.counts_refusals = true;
    crash_model model(std::move(settings));
    model.Run(seconds(60));
    Print("links, refusals count", model);
    // A trial clears content that was refused.
    CPPUNIT_ASSERT(model.refused_sound() + model.trials() > 0);
  }

  // Guards against a refusal that counts although heartbeats go on.
  void long_loss_of_one_link_refuses_no_content() {
    crash_model::settings settings;
    settings.has_link = [](std::size_t vm, std::size_t endpoint,
                           milliseconds at) {
      const bool is_lost = at % seconds(5) >= milliseconds(1'500);
      return vm == 0 || !is_lost ||
             endpoint != static_cast<std::size_t>(at / seconds(5)) % 24;
    };
    CheckNotRefused(std::move(settings), "one link");
  }

  // Guards against crashes that are not counted because evidence is awaited.
  void crashing_part_is_refused() { CheckStopped({}, 5, "part"); }

  void crashing_part_is_refused_while_links_fail() {
    CheckStopped(ResettingLinks(), 5, "part, links");
  }

  void crashing_part_is_refused_without_control() {
    crash_model::settings settings;
    settings.has_answers = false;
    CheckStopped(std::move(settings), 5, "part, no answers");
  }

  void identical_crashing_request_is_refused() {
    crash_model::settings settings;
    settings.is_identical = true;
    CheckStopped(std::move(settings), 3, "request");
  }

  static endpoint_record Endpoint(const std::string& id) {
    endpoint_record record;
    record.id = endpoint_id(id);
    record.pool = model_id("chat");
    record.incarnation = incarnation_number(1);
    return record;
  }

  // Guards against a failure domain without links to this VM and to control
  // processes whose endpoints count as crashed.
  void domain_that_is_cut_off_is_no_crash() {
    crash_evidence evidence;
    const steady_time start{seconds(100)};
    for (const char* id : {"a", "b", "c"}) {
      evidence.OnRefused(Endpoint(id), {content_digest(1)}, start);
    }
    for (const char* id : {"a", "b", "c"}) {
      endpoint_record silent = Endpoint(id);
      silent.phase = endpoint_phase::kSilent;
      evidence.OnRecord(silent);
    }
    std::size_t decided = 0;
    for (milliseconds at{0}; at <= seconds(5); at += milliseconds(25)) {
      for (const crash_decision& each : evidence.TakeDecisions(5, start + at)) {
        CPPUNIT_ASSERT(!IsCrash(each.finding));
        ++decided;
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, decided);
  }

  // Guards against a report whose age leaves out its way here.
  void report_from_before_the_crash_is_no_sign_of_life() {
    crash_evidence evidence;
    const steady_time start{seconds(100)};
    evidence.OnRefused(Endpoint("a"), {content_digest(1)}, start);
    evidence.OnReport(DigestOf(endpoint_id("a")), start + milliseconds(300));
    const auto decided = evidence.TakeDecisions(5, start + seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decided.size());
    CPPUNIT_ASSERT(IsCrash(decided[0].finding));
  }

  void identical_crashing_request_is_refused_while_links_fail() {
    crash_model::settings settings = ResettingLinks();
    settings.is_identical = true;
    CheckStopped(std::move(settings), 3, "request, links");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_evidence_test);

}  // namespace marjoramsill
