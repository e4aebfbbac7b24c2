#include <cppunit/extensions/HelperMacros.h>

#include "resumed_stream_fixture.h"

namespace marjoramsill {

/// Streams that are taken up while an endpoint starts again with other
/// software, and the first control process that it calls does not answer.
class restarted_endpoint_test : public resumed_stream_fixture {
  CPPUNIT_TEST_SUITE(restarted_endpoint_test);
  CPPUNIT_TEST(stream_is_not_joined_by_an_endpoint_that_is_not_announced_yet);
  CPPUNIT_TEST(stream_goes_on_at_an_endpoint_that_is_announced);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 29'300;

 public:
  void setUp() override {
    StartFleet(Settings(kPort), MARJORAMSILL_BINARY, MARJORAMSILL_FOLDER);
  }

  // Guards against a stream that goes on at the process that replaced the one
  // which the record still names.
  void stream_is_not_joined_by_an_endpoint_that_is_not_announced_yet() {
    soak::fake_endpoint& restarted = *fleet_->endpoints()[0];
    restarted.Crash();
    RunFor(kDownTime - kSharingTime);
    BeginStreams();
    RunFor(kSharingTime);
    fleet_->endpoints()[1]->Crash();
    fleet_->endpoints()[2]->Crash();
    RestartUnannounced(restarted);
    ResumeStreams();
    fleet_->ResumeNode(*fleet_->ControlNodes()[0]);
  }

  // Guards against streams that are refused at an endpoint of their software
  // while no connection to it is open yet.
  void stream_goes_on_at_an_endpoint_that_is_announced() {
    BeginStreams();
    RunFor(kSharingTime);
    CPPUNIT_ASSERT_EQUAL(kStreams, ResumeStreams());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(restarted_endpoint_test);

}  // namespace marjoramsill
