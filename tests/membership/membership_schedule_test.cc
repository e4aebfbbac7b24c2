#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "membership_simulation.h"

namespace marjoramsill {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct schedule_step {
  std::uint8_t action;
  std::uint8_t subject;
  std::uint16_t wait_ms;
};

std::ostream& operator<<(std::ostream& out, const schedule_step& step) {
  return out << int{step.action} << "/" << int{step.subject} << "+"
             << step.wait_ms << "ms";
}

class membership_schedule_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(membership_schedule_test);
  CPPUNIT_TEST(schedule_generated_keeps_bounds_and_converges);
  CPPUNIT_TEST_SUITE_END();

  static void Apply(membership_simulation& fleet, const schedule_step& step) {
    const std::size_t endpoint = step.subject % fleet.endpoint_count();
    const std::size_t vm = step.subject % fleet.vm_count();
    const std::size_t domain = step.subject % 3;
    switch (step.action % 12) {
      case 0:
      case 1:
        return fleet.StopEndpoint(endpoint);
      case 2:
      case 3:
        return fleet.LeaveEndpoint(endpoint);
      case 4:
        return fleet.RestartEndpoint(endpoint);
      case 5:
        return fleet.FreezeVm(vm, milliseconds(200 + 20 * step.subject));
      case 6:
        return fleet.StopVm(vm);
      case 7:
        return fleet.RestartVm(vm);
      case 8:
        return fleet.IsolateVm(vm, step.subject % 2 == 0);
      case 9:
        return fleet.CutDomain(domain, true);
      case 10:
        return fleet.CutDomain(domain, false);
      default:
        return fleet.SetFaults(0.2, 0.1, 0.1);
    }
  }

  static void EndFaults(membership_simulation& fleet) {
    fleet.SetFaults(0, 0, 0);
    for (std::size_t i = 0; i < fleet.vm_count(); ++i) {
      fleet.IsolateVm(i, false);
      fleet.RestartVm(i);
    }
    for (std::size_t i = 0; i < 3; ++i) fleet.CutDomain(i, false);
  }

 public:
  // Guards against untested sequences of endpoint and VM restarts, network
  // partitions, freezes and delayed, lost or duplicated messages: no endpoint
  // may be used more than 3 s after its end, and the views must converge.
  void schedule_generated_keeps_bounds_and_converges() {
    const auto step = rc::gen::build<schedule_step>(
        rc::gen::set(&schedule_step::action),
        rc::gen::set(&schedule_step::subject),
        rc::gen::set(&schedule_step::wait_ms,
                     rc::gen::inRange<std::uint16_t>(0, 4000)));
    rc::detail::TestMetadata metadata;
    metadata.id = "membership schedules";
    rc::detail::TestParams params = rc::detail::configuration().testParams;
    params.maxSuccess = MARJORAMSILL_SCHEDULES;
    const auto result = rc::detail::checkTestable(
        [&] {
          simulation_options options;
          options.endpoints_per_domain = 2;
          options.seed = *rc::gen::arbitrary<std::uint64_t>();
          options.attempt_share = 0.02;
          const auto steps =
              *rc::gen::container<std::vector<schedule_step>>(step);
          membership_simulation fleet(options);
          fleet.Run(seconds(5));
          for (const schedule_step& next : steps) {
            Apply(fleet, next);
            fleet.Run(milliseconds(next.wait_ms));
          }
          if (!fleet.violations().empty()) {
            RC_FAIL(fleet.violations().front());
          }
          EndFaults(fleet);
          fleet.Run(seconds(60));
          if (!fleet.violations().empty()) {
            RC_FAIL(fleet.violations().front());
          }
          if (!fleet.HasConverged()) RC_FAIL(fleet.DescribeViews());
          RC_ASSERT(fleet.peak_bytes() <= 3000U);
        },
        metadata, params);
    rc::detail::printResultMessage(result, std::cerr);
    CPPUNIT_ASSERT(result.template is<rc::detail::SuccessResult>());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_schedule_test);

}  // namespace marjoramsill
