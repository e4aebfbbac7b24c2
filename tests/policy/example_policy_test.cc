#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "version/snapshot_builder.h"

namespace marjoramsill {

class example_policy_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(example_policy_test);
  CPPUNIT_TEST(examples_each_section_is_valid_and_complete);
  CPPUNIT_TEST_SUITE_END();

  // Files are named KIND.NAME.yaml.
  static section_name SectionOf(const std::filesystem::path& file) {
    std::string name = file.stem().string();
    name.at(name.find('.')) = '/';
    return section_name(name);
  }

  static std::string Read(const std::filesystem::path& file) {
    std::ifstream input(file, std::ios::binary);
    return {std::istreambuf_iterator<char>(input), {}};
  }

  static std::shared_ptr<const policy_snapshot> Load(
      const std::string& deployment) {
    snapshot_builder builder;
    const std::filesystem::path folder =
        std::string(MARJORAMSILL_EXAMPLES) + "/" + deployment + "/policy";
    for (const auto& file : std::filesystem::directory_iterator(folder)) {
      const auto done =
          builder.Apply(SectionOf(file.path()), Read(file.path()));
      CPPUNIT_ASSERT_MESSAGE(Describe(done ? section_error() : done.error()),
                             done.has_value());
    }
    return builder.Build(document_version(1), true);
  }

 public:
  // Guards against examples that the schema of this release rejects, and
  // against examples in which a booking or an order is repeatable.
  void examples_each_section_is_valid_and_complete() {
    const auto pindan = Load("pindan");
    const auto tuatara = Load("tuatara");
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, pindan->workspaces().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, tuatara->workspaces().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, pindan->endpoints().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{22}, tuatara->endpoints().size());
    const auto* bookings = pindan->FindPool(model_id("bookings"));
    CPPUNIT_ASSERT(!bookings->IsRepeatable("POST", "/bookings/7"));
    CPPUNIT_ASSERT(bookings->IsRepeatable("POST", "/quotes"));
    const auto* orders = tuatara->FindPool(model_id("orders"));
    CPPUNIT_ASSERT(!orders->IsRepeatable("POST", "/dispatches"));
    CPPUNIT_ASSERT(
        pindan->FindPool(model_id("stone-advisor"))->engines_check_fencing);
    CPPUNIT_ASSERT(
        !tuatara->FindPool(model_id("drafting"))->engines_check_fencing);
    for (const auto& snapshot : {pindan, tuatara}) {
      CPPUNIT_ASSERT(snapshot->Rank(rank::kUrgent).first_token_target <
                     snapshot->Rank(rank::kBackground).first_token_target);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(example_policy_test);

}  // namespace marjoramsill
