#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <array>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "software_watch_model.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class step_kind {
  kStart,
  kSignOff,
  kCrash,
  kCut,
  kReconnect,
  kWait,
  kLongWait,
  kRestartEntry,
  kRestartControl,
};

constexpr std::array<const char*, 9> kStepNames = {
    "start",     "sign_off",      "crash",          "cut", "reconnect", "wait",
    "long_wait", "restart_entry", "restart_control"};

struct step {
  step_kind kind = step_kind::kWait;
  int endpoint = 0;
  int version = 0;
  int amount = 0;
};

std::ostream& operator<<(std::ostream& out, const step& event) {
  return out << kStepNames.at(static_cast<std::size_t>(event.kind))
             << " endpoint " << event.endpoint << " version " << event.version
             << " amount " << event.amount;
}

rc::Gen<step> AnyStep() {
  constexpr int kEndpoints = 3;
  constexpr int kVersions = 2;
  constexpr int kMaxAmount = 30;
  return rc::gen::construct<step>(
      rc::gen::weightedElement<step_kind>({{5, step_kind::kStart},
                                           {4, step_kind::kSignOff},
                                           {2, step_kind::kCrash},
                                           {3, step_kind::kCut},
                                           {4, step_kind::kReconnect},
                                           {6, step_kind::kWait},
                                           {1, step_kind::kLongWait},
                                           {1, step_kind::kRestartEntry},
                                           {1, step_kind::kRestartControl}}),
      rc::gen::inRange(0, kEndpoints), rc::gen::inRange(0, kVersions),
      rc::gen::inRange(1, kMaxAmount));
}

void RunStep(software_watch_model& model, const step& event) {
  const std::string id = "e" + std::to_string(event.endpoint);
  switch (event.kind) {
    case step_kind::kStart:
      model.Start(id, "v" + std::to_string(event.version));
      break;
    case step_kind::kSignOff:
      model.SignOff(id);
      break;
    case step_kind::kCrash:
      model.Crash(id);
      break;
    case step_kind::kCut:
      model.SetConnected(false);
      break;
    case step_kind::kReconnect:
      model.SetConnected(true);
      break;
    case step_kind::kWait:
      model.RunFor(event.amount * milliseconds(100));
      break;
    case step_kind::kLongWait:
      model.RunFor(event.amount * seconds(10));
      break;
    case step_kind::kRestartEntry:
      model.RestartEntry();
      break;
    case step_kind::kRestartControl:
      model.RestartControl();
      break;
  }
}

}  // namespace

/// What an entry VM knows of the software that the endpoints of a pool have
/// had, compared with all that they have had.
class software_history_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(software_history_test);
  CPPUNIT_TEST(endpoint_that_came_and_ended_in_a_gap_leaves_its_software);
  CPPUNIT_TEST(id_that_was_used_again_in_a_gap_leaves_its_software);
  CPPUNIT_TEST(end_of_an_unknown_endpoint_leaves_the_software_open);
  CPPUNIT_TEST(end_of_an_unknown_endpoint_reaches_a_restarted_entry_process);
  CPPUNIT_TEST(endpoints_that_announce_no_software_have_no_only_one);
  CPPUNIT_TEST(pool_without_other_software_has_one);
  CPPUNIT_TEST(software_of_a_gap_in_which_control_restarted_is_open);
  CPPUNIT_TEST(random_histories_never_hide_a_second_software);
  CPPUNIT_TEST_SUITE_END();

  software_watch_model model_;

 public:
  // The pool has had one version for longer than the period.
  void setUp() override {
    model_.Start("e0", "v0");
    model_.RunFor(seconds(20));
  }

  // Guards against a stream that goes on at another version because an entry VM
  // that stood still never had the record of the endpoint that began it.
  void endpoint_that_came_and_ended_in_a_gap_leaves_its_software() {
    model_.SetConnected(false);
    model_.Start("e1", "v1");
    model_.RunFor(seconds(1));
    model_.SignOff("e1");
    model_.SetConnected(true);
    model_.RunFor(seconds(1));
    CPPUNIT_ASSERT(!model_.OnlySoftware().has_value());
  }

  // Guards against the software of a later start under the same id being lost
  // with its short record.
  void id_that_was_used_again_in_a_gap_leaves_its_software() {
    model_.Start("e1", "v0");
    model_.RunFor(seconds(1));
    model_.SetConnected(false);
    model_.Crash("e1");
    model_.RunFor(seconds(1));
    model_.Start("e1", "v1");
    model_.RunFor(seconds(1));
    model_.SignOff("e1");
    model_.SetConnected(true);
    model_.RunFor(seconds(1));
    CPPUNIT_ASSERT(!model_.OnlySoftware().has_value());
  }

  // Guards against an endpoint whose software no process knows counting as one
  // of the known software.
  void end_of_an_unknown_endpoint_leaves_the_software_open() {
    model_.SignOff("unheard");
    model_.RunFor(seconds(1));
    CPPUNIT_ASSERT(!model_.OnlySoftware().has_value());
  }

  // Guards against the same at an entry VM that has just started, which gets no
  // records of ended endpoints.
  void end_of_an_unknown_endpoint_reaches_a_restarted_entry_process() {
    model_.SignOff("unheard");
    model_.RestartEntry();
    model_.RunFor(seconds(2));
    CPPUNIT_ASSERT(!model_.OnlySoftware().has_value());
  }

  // Guards against endpoints that announce no version counting as one version.
  void endpoints_that_announce_no_software_have_no_only_one() {
    model_.Start("e0", "");
    model_.Start("e1", "");
    model_.RunFor(seconds(20));
    CPPUNIT_ASSERT(!model_.OnlySoftware().has_value());
  }

  // Guards against streams that are refused although they are safe.
  void pool_without_other_software_has_one() {
    model_.Start("e1", "v0");
    model_.RunFor(seconds(1));
    model_.SetConnected(false);
    model_.Start("e2", "v0");
    model_.RunFor(seconds(1));
    model_.SignOff("e2");
    model_.SetConnected(true);
    model_.RunFor(seconds(1));
    CPPUNIT_ASSERT(model_.OnlySoftware().has_value());
  }

  // Guards against a version that only a control process knew which lost all
  // that it knew, while an entry VM was out of touch.
  void software_of_a_gap_in_which_control_restarted_is_open() {
    model_.SetConnected(false);
    model_.Start("e1", "v1");
    model_.RunFor(seconds(1));
    model_.Crash("e1");
    model_.RestartControl();
    model_.RunFor(seconds(2));
    model_.SetConnected(true);
    model_.RunFor(seconds(3));
    CPPUNIT_ASSERT(!model_.OnlySoftware().has_value());
    model_.RunFor(software_watch_model::kPeriod + seconds(3));
    CPPUNIT_ASSERT(model_.OnlySoftware().has_value());
  }

  // Guards against any other way to miss that a second version has served:
  // an entry VM may name one version as the only one if the whole history of
  // the pool has no other within the period.
  void random_histories_never_hide_a_second_software() {
    CPPUNIT_ASSERT(
        rc::check("an only software is the only one of the period", [] {
          const auto steps = *rc::gen::container<std::vector<step>>(AnyStep());
          software_watch_model model;
          for (const step& event : steps) {
            RunStep(model, event);
            RC_ASSERT(model.IsOnlySoftwareTrue());
          }
        }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(software_history_test);

}  // namespace marjoramsill
