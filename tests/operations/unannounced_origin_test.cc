#include <cppunit/extensions/HelperMacros.h>

#include "resumed_stream_fixture.h"

namespace marjoramsill {

/// Streams that begin at an endpoint which has started again with other
/// software, while the first control process that it calls does not answer.
class unannounced_origin_test : public resumed_stream_fixture {
  CPPUNIT_TEST_SUITE(unannounced_origin_test);
  CPPUNIT_TEST(stream_of_an_unannounced_endpoint_keeps_its_software);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 29'400;

 public:
  void setUp() override {
    StartFleet(Settings(kPort), MARJORAMSILL_BINARY, MARJORAMSILL_FOLDER);
  }

  // Guards against an origin that names the software of the process which the
  // one that began the stream has replaced.
  void stream_of_an_unannounced_endpoint_keeps_its_software() {
    soak::fake_endpoint& restarted = *fleet_->endpoints()[0];
    restarted.Crash();
    RunFor(kDownTime);
    fleet_->endpoints()[1]->Crash();
    fleet_->endpoints()[2]->Crash();
    RestartUnannounced(restarted);
    BeginStreams();
    RunFor(kSharingTime);
    fleet_->ResumeNode(*fleet_->ControlNodes()[0]);
    restarted.Crash();
    fleet_->endpoints()[1]->Start();
    RunFor(kSharingTime);
    ResumeStreams();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unannounced_origin_test);

}  // namespace marjoramsill
