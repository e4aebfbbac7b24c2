#include "process/membership/endpoint_registry.h"

#include <cppunit/extensions/HelperMacros.h>

namespace marjoramsill {

using std::chrono::milliseconds;
using std::chrono::seconds;

class endpoint_registry_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_registry_test);
  CPPUNIT_TEST(endpoint_new_is_probed_then_usable);
  CPPUNIT_TEST(announcements_regular_keep_endpoint_usable);
  CPPUNIT_TEST(announcement_late_is_no_evidence);
  CPPUNIT_TEST(announcement_lower_incarnation_is_refused);
  CPPUNIT_TEST(endpoint_silent_expires);
  CPPUNIT_TEST(endpoint_leaving_by_header_gets_no_work);
  CPPUNIT_TEST(endpoint_leaving_does_not_become_active_again);
  CPPUNIT_TEST(endpoint_flapping_is_held_down);
  CPPUNIT_TEST(endpoint_that_asks_for_a_pause_gets_no_work_until_its_end);
  CPPUNIT_TEST(freeze_makes_evidence_stale);
  CPPUNIT_TEST(summary_lists_overdue_leases);
  CPPUNIT_TEST(probes_stay_within_budget);
  CPPUNIT_TEST(registry_full_refuses_unknown_endpoints);
  CPPUNIT_TEST_SUITE_END();

  static endpoint_announcement Announcement(const char* id = "e1",
                                            std::uint64_t incarnation = 1) {
    endpoint_announcement announcement;
    announcement.id = endpoint_id(id);
    announcement.incarnation = incarnation_number(incarnation);
    announcement.address = "10.0.0.1:80";
    announcement.domain = failure_domain_id("perth");
    announcement.serves = {model_id("drafting")};
    return announcement;
  }

  static endpoint_registry_settings Settings() {
    endpoint_registry_settings settings;
    settings.self = {vm_id("vm-1"), incarnation_number(1)};
    return settings;
  }

  // Advances the time to `to` in ticks of 100 ms. Announces the endpoint at
  // every full second and responds to probes, unless disabled.
  void RunTo(milliseconds to, bool announce = true, bool respond = true) {
    while (at_ < to) {
      at_ += milliseconds(100);
      if (announce && at_ % milliseconds(1000) == milliseconds(0)) {
        (void)registry_.OnAnnouncement(announcement_, Now());
      }
      for (const probe_request& probe : registry_.Tick(Now())) {
        ++probes_;
        if (!respond) continue;
        registry_.OnProbeResult(
            probe.id, {probe.incarnation, true, Now(), announcement_.state, {}},
            Now());
      }
    }
  }

  dispatch_decision Decision() const {
    return registry_.Inspect(announcement_.id, Now());
  }
  steady_time Now() const { return steady_time(at_); }

  milliseconds at_{100000};
  endpoint_announcement announcement_ = Announcement();
  endpoint_registry registry_{Settings()};
  int probes_ = 0;

 public:
  // Guards against sending work to an address before it is known to respond.
  void endpoint_new_is_probed_then_usable() {
    CPPUNIT_ASSERT(Decision() == dispatch_decision::kUnknown);
    CPPUNIT_ASSERT(registry_.OnAnnouncement(announcement_, Now()).has_value());
    CPPUNIT_ASSERT(Decision() == dispatch_decision::kNeedsProbe);
    RunTo(milliseconds(100100));
    CPPUNIT_ASSERT_EQUAL(1, probes_);
    CPPUNIT_ASSERT(Decision() == dispatch_decision::kUsable);
  }

  // Guards against needless probes of endpoints that announce on time.
  void announcements_regular_keep_endpoint_usable() {
    RunTo(milliseconds(104000));
    const int before = probes_;
    while (at_ < milliseconds(130000)) {
      RunTo(at_ + milliseconds(100));
      CPPUNIT_ASSERT(Decision() == dispatch_decision::kUsable);
    }
    CPPUNIT_ASSERT_EQUAL(before, probes_);
  }

  // Guards against accepting an announcement as evidence that was delayed by
  // a network partition while its endpoint died.
  void announcement_late_is_no_evidence() {
    RunTo(milliseconds(106000));
    RunTo(milliseconds(108400), false);
    CPPUNIT_ASSERT(Decision() == dispatch_decision::kUsable);
    (void)registry_.OnAnnouncement(announcement_, Now());
    RunTo(milliseconds(108600), false, false);
    CPPUNIT_ASSERT(Decision() == dispatch_decision::kNeedsProbe);
  }

  // Guards against a delayed announcement of an earlier incarnation.
  void announcement_lower_incarnation_is_refused() {
    announcement_ = Announcement("e1", 5);
    RunTo(milliseconds(101000));
    const auto refused = registry_.OnAnnouncement(Announcement("e1", 4), Now());
    CPPUNIT_ASSERT(!refused);
    CPPUNIT_ASSERT(refused.error() == announcement_refusal::kOldIncarnation);
    CPPUNIT_ASSERT(registry_.Find(announcement_.id)->endpoint.incarnation ==
                   incarnation_number(5));
  }

  // Guards against requests that reach an endpoint in the pause that it asked
  // this VM for.
  void endpoint_that_asks_for_a_pause_gets_no_work_until_its_end() {
    RunTo(milliseconds(101000));
    attempt_report refused;
    refused.incarnation = announcement_.incarnation;
    refused.sent_at = Now();
    refused.pause = milliseconds(2500);
    registry_.OnAttempt(announcement_.id, refused, Now());
    const milliseconds end = at_ + milliseconds(2500);
    while (at_ + milliseconds(100) < end) {
      RunTo(at_ + milliseconds(100));
      CPPUNIT_ASSERT(Decision() == dispatch_decision::kPaused);
    }
    RunTo(end + milliseconds(100));
    CPPUNIT_ASSERT(Decision() == dispatch_decision::kUsable);
    refused.pause = std::chrono::hours(24);
    registry_.OnAttempt(announcement_.id, refused, Now());
    announcement_ = Announcement("e1", 2);
    RunTo(at_ + milliseconds(6000));
    CPPUNIT_ASSERT(Decision() != dispatch_decision::kPaused);
  }

  // Guards against endpoints that stay usable after they have stopped.
  void endpoint_silent_expires() {
    RunTo(milliseconds(105000));
    RunTo(milliseconds(107500), false, false);
    CPPUNIT_ASSERT(Decision() == dispatch_decision::kNeedsProbe);
    RunTo(milliseconds(108200), false, false);
    CPPUNIT_ASSERT(Decision() == dispatch_decision::kUnknown);
    CPPUNIT_ASSERT(registry_.ForModel(model_id("drafting")).empty());
  }

  // Guards against new work on an endpoint whose response headers report that
  // it is leaving, on a VM that receives no announcements or peer messages.
  void endpoint_leaving_by_header_gets_no_work() {
    RunTo(milliseconds(105000));
    registry_.OnAttempt(announcement_.id,
                        {announcement_.incarnation, true, Now(),
                         endpoint_state::kLeaving, std::nullopt},
                        Now());
    CPPUNIT_ASSERT(Decision() == dispatch_decision::kLeaving);
  }

  // Guards against a delayed announcement that makes a leaving endpoint active
  // again.
  void endpoint_leaving_does_not_become_active_again() {
    announcement_.state = endpoint_state::kLeaving;
    RunTo(milliseconds(101000));
    (void)registry_.OnAnnouncement(Announcement(), Now());
    CPPUNIT_ASSERT(Decision() == dispatch_decision::kLeaving);
    (void)registry_.OnAnnouncement(Announcement("e1", 2), Now());
    CPPUNIT_ASSERT(Decision() != dispatch_decision::kLeaving);
  }

  // Guards against sending work to a flapping endpoint at each return.
  void endpoint_flapping_is_held_down() {
    for (std::uint64_t incarnation = 2; incarnation < 6; ++incarnation) {
      announcement_.incarnation = incarnation_number(incarnation);
      RunTo(at_ + milliseconds(2000));
    }
    // Three returns: held for 1 + 2 + 4 s after the last one, at 107 s.
    CPPUNIT_ASSERT(Decision() == dispatch_decision::kHeldDown);
    RunTo(milliseconds(110900));
    CPPUNIT_ASSERT(Decision() == dispatch_decision::kHeldDown);
    RunTo(milliseconds(111000));
    CPPUNIT_ASSERT(Decision() == dispatch_decision::kUsable);
  }

  // Guards against a process that resumes after a freeze and accepts queued
  // announcements as evidence.
  void freeze_makes_evidence_stale() {
    RunTo(milliseconds(105000));
    CPPUNIT_ASSERT(Decision() == dispatch_decision::kUsable);
    at_ += milliseconds(700);
    CPPUNIT_ASSERT(Decision() == dispatch_decision::kNeedsProbe);
    (void)registry_.OnAnnouncement(announcement_, Now());
    CPPUNIT_ASSERT(Decision() == dispatch_decision::kNeedsProbe);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         registry_.BuildSummary(Now()).overdue.size());
  }

  // Guards against a summary that covers leases without recent evidence.
  void summary_lists_overdue_leases() {
    RunTo(milliseconds(105000));
    (void)registry_.OnAnnouncement(Announcement("e2"), Now());
    lease_summary summary = registry_.BuildSummary(Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, summary.overdue.size());
    CPPUNIT_ASSERT(summary.age == milliseconds(0));
    RunTo(milliseconds(106500), false, false);
    summary = registry_.BuildSummary(Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, summary.overdue.size());
  }

  // Guards against probes that use more than their share of the 3,000 bytes per
  // second.
  void probes_stay_within_budget() {
    for (int i = 0; i < 100; ++i) {
      (void)registry_.OnAnnouncement(Announcement(std::to_string(i).c_str()),
                                     Now());
    }
    for (int second = 0; second < 30; ++second) {
      for (int i = 0; i < 100; ++i) {
        (void)registry_.OnAnnouncement(Announcement(std::to_string(i).c_str()),
                                       Now());
      }
      RunTo(at_ + milliseconds(1000), false, false);
    }
    CPPUNIT_ASSERT(probes_ > 0);
    CPPUNIT_ASSERT(registry_.probe_bytes_sent() <= 640 * 30 + 640);
  }

  // Guards against memory growth by announcements with arbitrary endpoint ids.
  void registry_full_refuses_unknown_endpoints() {
    endpoint_registry_settings settings = Settings();
    settings.max_endpoints = 1;
    endpoint_registry small(settings);
    CPPUNIT_ASSERT(small.OnAnnouncement(Announcement("e1"), Now()).has_value());
    const auto refused = small.OnAnnouncement(Announcement("e2"), Now());
    CPPUNIT_ASSERT(!refused);
    CPPUNIT_ASSERT(refused.error() == announcement_refusal::kTooManyEndpoints);
    CPPUNIT_ASSERT(small.OnAnnouncement(Announcement("e1"), Now()).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_registry_test);

}  // namespace marjoramsill
