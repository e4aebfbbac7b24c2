#include "process/membership/endpoint_announcement.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace marjoramsill {

class endpoint_announcement_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_announcement_test);
  CPPUNIT_TEST(announcement_complete_is_read);
  CPPUNIT_TEST(announcement_bad_members_are_named);
  CPPUNIT_TEST(response_headers_malformed_are_refused);
  CPPUNIT_TEST_SUITE_END();

  static std::string Json(const std::string& from = "",
                          const std::string& to = "") {
    std::string text =
        R"({"id":"e1","incarnation":7,"address":"10.0.0.1:80",)"
        R"("failure_domain":"perth","state":"active","serves":["drafting"],)"
        R"("capacity":32,"load":{"running":3,"waiting":1}})";
    const auto at = text.find(from);
    if (!from.empty()) text.replace(at, from.size(), to);
    return text;
  }

  static void AssertRefused(const std::string& json,
                            announcement_error::reason why,
                            const std::string& member) {
    const auto parsed = ParseAnnouncement(json);
    CPPUNIT_ASSERT_MESSAGE(json, !parsed);
    CPPUNIT_ASSERT_MESSAGE(json, parsed.error().why == why);
    CPPUNIT_ASSERT_EQUAL(member, parsed.error().member);
  }

 public:
  // Guards against JSON members being stored in the wrong field.
  void announcement_complete_is_read() {
    const auto parsed = ParseAnnouncement(Json());
    CPPUNIT_ASSERT(parsed.has_value());
    const endpoint_announcement expected{endpoint_id("e1"),
                                         incarnation_number(7),
                                         "10.0.0.1:80",
                                         failure_domain_id("perth"),
                                         endpoint_state::kActive,
                                         {model_id("drafting")},
                                         32,
                                         {3, 1}};
    CPPUNIT_ASSERT(parsed.value() == expected);
  }

  // Guards against crashes and silent defaults on malformed announcements.
  void announcement_bad_members_are_named() {
    using reason = announcement_error::reason;
    AssertRefused("{", reason::kNotJson, "");
    AssertRefused("[]", reason::kNotJson, "");
    AssertRefused(std::string(5000, ' '), reason::kTooLarge, "");
    AssertRefused(Json("\"id\"", "\"ix\""), reason::kMissing, "id");
    AssertRefused(Json("e1", std::string(65, 'x')), reason::kOutOfRange, "id");
    AssertRefused(Json("7", "-7"), reason::kMissing, "incarnation");
    AssertRefused(Json("active", "gone"), reason::kOutOfRange, "state");
    AssertRefused(Json("[\"drafting\"]", "[]"), reason::kOutOfRange, "serves");
    AssertRefused(Json("[\"drafting\"]", "[3]"), reason::kOutOfRange, "serves");
    AssertRefused(Json("32", "0"), reason::kOutOfRange, "capacity");
    AssertRefused(Json("32", "70000"), reason::kOutOfRange, "capacity");
    AssertRefused(Json("\"waiting\":1", "\"waiting\":\"1\""), reason::kMissing,
                  "load");
  }

  // Guards against a malformed header being read as an idle or active endpoint.
  void response_headers_malformed_are_refused() {
    CPPUNIT_ASSERT(ParseEndpointLoad("running=3 waiting=1") ==
                   (endpoint_load{3, 1}));
    for (const char* bad :
         {"", "running=3", "running= waiting=1", "running=3 waiting=1 ",
          "running=-3 waiting=1", "running=3 waiting=99999999999"}) {
      CPPUNIT_ASSERT_MESSAGE(bad, !ParseEndpointLoad(bad).has_value());
    }
    CPPUNIT_ASSERT(ParseEndpointState("leaving") == endpoint_state::kLeaving);
    CPPUNIT_ASSERT(!ParseEndpointState("Leaving").has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_announcement_test);

}  // namespace marjoramsill
