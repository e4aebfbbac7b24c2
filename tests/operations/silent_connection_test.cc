#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iterator>
#include <random>
#include <string>

#include "fleet_fixture.h"

namespace marjoramsill {

using std::chrono::milliseconds;

/// Processes whose open connections carry nothing more, without an end or a
/// reset, while new ones work.
class silent_connection_test : public fleet_fixture {
  CPPUNIT_TEST_SUITE(silent_connection_test);
  CPPUNIT_TEST(document_after_all_inner_connections_went_silent_is_in_force);
  CPPUNIT_TEST(requests_after_connections_to_endpoints_went_silent_are_served);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 28'000;
  static constexpr std::size_t kEntries = 3;
  /// `contactMs` and `configApplyMs` of the users' deployments.
  static constexpr milliseconds kContactTime{3'000};
  static constexpr milliseconds kApplyTime{2'000};

  std::mt19937_64 random_{20261204};

  std::string LogOf(const soak::soak_node& node) const {
    std::ifstream file(std::string(MARJORAMSILL_FOLDER) + "/" + node.name +
                       ".log");
    return {std::istreambuf_iterator<char>(file), {}};
  }

  bool IsInForce(std::uint64_t version) {
    const std::string line =
        "event=document_in_force version=" + std::to_string(version) + " ";
    const auto entries = fleet_->EntryNodes();
    return std::all_of(entries.begin(), entries.end(), [&](const auto* node) {
      return LogOf(*node).find(line) != std::string::npos;
    });
  }

 public:
  void setUp() override {
    soak::soak_settings settings;
    settings.port = kPort;
    settings.entry_processes = kEntries;
    StartFleet(settings, MARJORAMSILL_BINARY, MARJORAMSILL_FOLDER);
  }

  // Guards against a group and watchers that wait on connections which nothing
  // comes through any more.
  void document_after_all_inner_connections_went_silent_is_in_force() {
    for (int round = 0; round < 3; ++round) {
      for (const auto& node : fleet_->nodes()) {
        if (random_() % 10 < 7) node->proxy->Silence();
      }
      RunFor(kContactTime + milliseconds(random_() % 1'000));
      const std::uint64_t version = load_->acknowledged() + 1;
      load_->SubmitDocument();
      CPPUNIT_ASSERT(
          RunUntil([&] { return load_->acknowledged() == version; }));
      RunFor(kApplyTime);
      CPPUNIT_ASSERT(IsInForce(version));
    }
  }

  void requests_after_connections_to_endpoints_went_silent_are_served() {
    for (const auto& link : fleet_->endpoint_links()) link->Silence();
    RunFor(kContactTime);
    for (int i = 0; i < 20; ++i) {
      const std::string request = "r" + std::to_string(i);
      CPPUNIT_ASSERT_EQUAL(200,
                           Status(random_() % kEntries, "/look/", request));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(silent_connection_test);

}  // namespace marjoramsill
