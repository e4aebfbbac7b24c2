#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <string>

#include "process/daemon/settings.h"

namespace marjoramsill {

class example_settings_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(example_settings_test);
  CPPUNIT_TEST(examples_each_deployment_survives_the_loss_of_any_domain);
  CPPUNIT_TEST_SUITE_END();

  static void Check(const std::string& deployment, std::size_t domains) {
    const std::filesystem::path folder =
        std::string(MARJORAMSILL_EXAMPLES) + "/" + deployment + "/settings";
    std::size_t files = 0;
    for (const auto& file : std::filesystem::directory_iterator(folder)) {
      std::ifstream input(file.path(), std::ios::binary);
      const std::string text{std::istreambuf_iterator<char>(input), {}};
      const auto parsed = ParseSettings(file.path().string(), text);
      CPPUNIT_ASSERT_MESSAGE(parsed ? "" : Describe(parsed.error()),
                             parsed.has_value());
      ++files;
      std::map<failure_domain_id, std::size_t> voters;
      std::size_t all = 0;
      for (const fleet_vm& vm : parsed.value().fleet) {
        const bool voter = vm.control == control_role::kVoter;
        voters[vm.domain] += voter ? 1 : 0;
        all += voter ? 1 : 0;
      }
      CPPUNIT_ASSERT_EQUAL(domains, voters.size());
      for (const auto& [domain, count] : voters) {
        CPPUNIT_ASSERT_MESSAGE(domain.value(), 2 * (all - count) > all);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, files);
  }

 public:
  // Guards against example settings that are refused, or whose voters lose
  // their majority with one failure domain.
  void examples_each_deployment_survives_the_loss_of_any_domain() {
    Check("pindan", 3);
    Check("tuatara", 4);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(example_settings_test);

}  // namespace marjoramsill
