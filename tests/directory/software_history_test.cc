#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

#include "software_watch_model.h"

namespace marjoramsill {

using std::chrono::seconds;

/// What an entry VM knows of the software that the endpoints of a pool have
/// had, compared with all that they have had.
class software_history_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(software_history_test);
  CPPUNIT_TEST(endpoint_that_came_and_ended_in_a_gap_leaves_its_software);
  CPPUNIT_TEST(id_that_was_used_again_in_a_gap_leaves_its_software);
  CPPUNIT_TEST(end_of_an_unknown_endpoint_leaves_the_software_open);
  CPPUNIT_TEST(end_of_an_unknown_endpoint_reaches_a_restarted_entry_process);
  CPPUNIT_TEST(pool_without_other_software_has_one);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a stream that goes on at another version because an entry VM
  // that stood still never had the record of the endpoint that began it.
  void endpoint_that_came_and_ended_in_a_gap_leaves_its_software() {
    software_watch_model model;
    model.Start("e0", "v0");
    model.RunFor(seconds(20));
    model.SetConnected(false);
    model.Start("e1", "v1");
    model.RunFor(seconds(1));
    model.SignOff("e1");
    model.SetConnected(true);
    model.RunFor(seconds(1));
    CPPUNIT_ASSERT(!model.OnlySoftware().has_value());
  }

  // Guards against the software of a later start under the same id being lost
  // with its short record.
  void id_that_was_used_again_in_a_gap_leaves_its_software() {
    software_watch_model model;
    model.Start("e0", "v0");
    model.Start("e1", "v0");
    model.RunFor(seconds(20));
    model.SetConnected(false);
    model.Crash("e1");
    model.RunFor(seconds(1));
    model.Start("e1", "v1");
    model.RunFor(seconds(1));
    model.SignOff("e1");
    model.SetConnected(true);
    model.RunFor(seconds(1));
    CPPUNIT_ASSERT(!model.OnlySoftware().has_value());
  }

  // Guards against an endpoint whose software no process knows counting as one
  // of the known software.
  void end_of_an_unknown_endpoint_leaves_the_software_open() {
    software_watch_model model;
    model.Start("e0", "v0");
    model.RunFor(seconds(20));
    model.SignOff("unheard");
    model.RunFor(seconds(1));
    CPPUNIT_ASSERT(!model.OnlySoftware().has_value());
  }

  // Guards against the same at an entry VM that has just started, which gets no
  // records of ended endpoints.
  void end_of_an_unknown_endpoint_reaches_a_restarted_entry_process() {
    software_watch_model model;
    model.Start("e0", "v0");
    model.RunFor(seconds(20));
    model.SignOff("unheard");
    model.RestartEntry();
    model.RunFor(seconds(2));
    CPPUNIT_ASSERT(!model.OnlySoftware().has_value());
  }

  // Guards against streams that are refused although they are safe.
  void pool_without_other_software_has_one() {
    software_watch_model model;
    model.Start("e0", "v0");
    model.Start("e1", "v0");
    model.RunFor(seconds(20));
    model.SetConnected(false);
    model.Start("e2", "v0");
    model.RunFor(seconds(1));
    model.SignOff("e2");
    model.SetConnected(true);
    model.RunFor(seconds(1));
    CPPUNIT_ASSERT(model.OnlySoftware().has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(software_history_test);

}  // namespace marjoramsill
