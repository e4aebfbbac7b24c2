#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "brittle_endpoint_fixture.h"
#include "http_call.h"
#include "platform/field_names.h"

namespace marjoramsill {

/// Endpoints that end after a few refusals, while the fleet or its callers are
/// disturbed.
class brittle_disruption_test : public brittle_endpoint_fixture {
  CPPUNIT_TEST_SUITE(brittle_disruption_test);
  CPPUNIT_TEST(brittle_endpoints_survive_a_restart_of_all_control_processes);
  CPPUNIT_TEST(brittle_endpoints_survive_a_restart_of_all_entry_vms);
  CPPUNIT_TEST(brittle_endpoints_survive_a_restart_of_the_whole_fleet);
  CPPUNIT_TEST(brittle_endpoints_survive_entry_vms_cut_off_from_control);
  CPPUNIT_TEST(brittle_endpoints_survive_a_release);
  CPPUNIT_TEST(brittle_endpoints_survive_callers_that_give_up);
  CPPUNIT_TEST_SUITE_END();

  static constexpr milliseconds kDisruptedAt{kContactTime.count() + 2'000};
  static constexpr milliseconds kCutTime{4'000};
  static constexpr milliseconds kReleaseInterval{400};
  /// Callers that leave do so after this part of the service time.
  static constexpr milliseconds kPatience{60};
  static constexpr milliseconds kGiveUpInterval{16};

  void RestartAll(const std::vector<soak::soak_node*>& nodes) {
    restarts_entries_ = true;
    for (soak::soak_node* node : nodes) Restart(*node);
  }

  void SendImpatient() {
    const std::string request = "impatient" + std::to_string(++impatient_);
    soak::Call(io_, fleet_->EntryNodes()[random_() % kEntries]->callers,
               soak::RequestText("POST", "/look/" + request,
                                 {{platform::kRequestId, request},
                                  {platform::kRemainingMs, "2500"}},
                                 "body"),
               kPatience, [](const auto& /*response*/) {});
    RunAfter(kGiveUpInterval, [this] { SendImpatient(); });
  }

  int impatient_ = 0;

 public:
  // Guards against VMs that take all slots because no control process knows
  // the others yet.
  void brittle_endpoints_survive_a_restart_of_all_control_processes() {
    SetBrittle(kEndpoints, kRefusals);
    RunAfter(kDisruptedAt, [this] { RestartAll(fleet_->ControlNodes()); });
    CheckEnds(kEndpoints);
  }

  // Guards against VMs that start without their place in the fleet and take
  // all slots.
  void brittle_endpoints_survive_a_restart_of_all_entry_vms() {
    SetBrittle(kEndpoints, kRefusals);
    RunAfter(kDisruptedAt, [this] { RestartAll(fleet_->EntryNodes()); });
    CheckEnds(kEndpoints);
  }

  void brittle_endpoints_survive_a_restart_of_the_whole_fleet() {
    SetBrittle(kEndpoints, kRefusals);
    RunAfter(kDisruptedAt, [this] {
      RestartAll(fleet_->ControlNodes());
      RestartAll(fleet_->EntryNodes());
    });
    CheckEnds(kEndpoints);
  }

  void brittle_endpoints_survive_entry_vms_cut_off_from_control() {
    SetBrittle(kEndpoints, kRefusals);
    const auto set_links = [this](soak::link_mode mode) {
      for (soak::soak_node* node : fleet_->ControlNodes()) {
        node->proxy->SetMode(mode);
      }
    };
    RunAfter(kDisruptedAt,
             [set_links] { set_links(soak::link_mode::kRefuse); });
    RunAfter(kDisruptedAt + kCutTime,
             [set_links] { set_links(soak::link_mode::kPass); });
    CheckEnds(kEndpoints);
  }

  // Guards against new endpoints that are filled before they have named their
  // limit.
  void brittle_endpoints_survive_a_release() {
    SetBrittle(kEndpoints, kRefusals);
    for (std::size_t i = 0; i < kEndpoints / 2; ++i) {
      const auto leave_at = kContactTime + kReleaseInterval * i;
      RunAfter(leave_at, [this, i] { fleet_->endpoints()[i]->Leave(); });
      RunAfter(leave_at + milliseconds(3'200), [this, i] {
        auto& endpoint = *fleet_->endpoints()[i];
        if (!endpoint.is_running()) endpoint.StartRenewed();
      });
    }
    CheckEnds(kEndpoints);
  }

  // Guards against a slot that counts as free when its caller has left though
  // the endpoint goes on with the request.
  void brittle_endpoints_survive_callers_that_give_up() {
    SetBrittle(kEndpoints, kRefusals);
    for (const auto& endpoint : fleet_->endpoints()) {
      endpoint->SetFinishingDropped(true);
    }
    SendImpatient();
    CheckEnds(kEndpoints);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(brittle_disruption_test);

}  // namespace marjoramsill
