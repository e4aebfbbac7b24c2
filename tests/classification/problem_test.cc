#include "request/problem.h"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>
#include <string>

namespace marjoramsill {

class problem_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(problem_test);
  CPPUNIT_TEST(problem_json_has_the_documented_members);
  CPPUNIT_TEST(problem_invalid_utf8_in_detail_is_replaced);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against renaming or dropping a member that callers rely on.
  void problem_json_has_the_documented_members() {
    const problem value{problem_kind::kKeyReused,
                        execution_status::kOutcomeUnknown, "the key",
                        std::chrono::milliseconds(1500)};
    const auto body = nlohmann::json::parse(ProblemJson(value));
    CPPUNIT_ASSERT(body.at("type") == "urn:marjoramsill:problem:key-reused");
    CPPUNIT_ASSERT(body.at("status") == 422);
    CPPUNIT_ASSERT(body.at("title").is_string());
    CPPUNIT_ASSERT(body.at("detail") == "the key");
    CPPUNIT_ASSERT(body.at("run") == "outcome unknown");
  }

  // Guards against an exception or invalid JSON when a detail quotes bytes of
  // the caller that are not UTF-8.
  void problem_invalid_utf8_in_detail_is_replaced() {
    const problem value{problem_kind::kUnknownWorkspace,
                        execution_status::kNotRun,
                        "X-Workspace \"\xff\xc3\" \"quoted\"",
                        {}};
    const auto body = nlohmann::json::parse(ProblemJson(value));
    CPPUNIT_ASSERT(body.at("detail") ==
                   "X-Workspace \"\xEF\xBF\xBD\xEF\xBF\xBD\" \"quoted\"");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(problem_test);

}  // namespace marjoramsill
