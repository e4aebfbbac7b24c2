#include "version/section_parser.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <variant>
#include <vector>

#include "version/snapshot_builder.h"
#include "version/yaml_reader.h"

namespace marjoramsill {
namespace {

const std::string kWorkspace =
    "tokens_per_second: 2000\nconcurrent_requests: 20\nranks: [urgent]\n";

struct rejected_case {
  std::string section;
  std::string bytes;
  int line;
  std::string field;
  std::string found;
};

const std::string kKeyText = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=";
const std::string kOtherKeyText =
    "AQAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=";

std::string Team(const std::string& name, const std::string& key,
                 const std::string& owns) {
  return " - {name: " + name + ", owns: [\"" + owns + "\"], keys: [{" +
         "public_key: " + key + ", not_after: 2027-01-01T00:00:00Z}]}\n";
}

std::string Rank(const std::string& name, const std::string& share) {
  return name + ": {first_token_ms: 900, between_tokens_ms: 30, " +
         "default_deadline_ms: 1000, maximum_deadline_ms: 5000, kept_share: " +
         share + ", objective: 0.99}\n";
}

}  // namespace

class section_parser_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(section_parser_test);
  CPPUNIT_TEST(section_wrong_content_names_line_field_and_found);
  CPPUNIT_TEST(section_each_kind_is_read_into_its_aggregate);
  CPPUNIT_TEST(section_damaged_bytes_give_an_error_or_a_value);
  CPPUNIT_TEST(call_disguised_path_is_not_repeatable);
  CPPUNIT_TEST(snapshot_earlier_version_is_not_changed);
  CPPUNIT_TEST_SUITE_END();

  static void Rejects(const rejected_case& c) {
    const auto parsed = ParseSection(section_name(c.section), c.bytes);
    CPPUNIT_ASSERT_MESSAGE("accepted: " + c.bytes, !parsed);
    const section_error& error = parsed.error();
    const std::string description = Describe(error);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(description, c.line, error.line);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(description, c.field, error.field);
    CPPUNIT_ASSERT_MESSAGE(description, error.found.find(c.found) == 0);
    CPPUNIT_ASSERT_MESSAGE(description, !error.allowed.empty());
  }

 public:
  // Guards against input that yaml-cpp accepts without an error (duplicate
  // keys, aliases, a byte that ends its stream) and against values that are out
  // of range or of another type.
  void section_wrong_content_names_line_field_and_found() {
    const std::string w = "workspaces/club";
    const std::string extra = kWorkspace + "weight: ";
    const std::string ranks = Rank("urgent", "0.6") + Rank("standard", "0.6") +
                              Rank("background", "0");
    const std::vector<rejected_case> cases = {
        {w, kWorkspace + "weigth: 2\n", 4, "weigth", "an unknown key"},
        {w, extra + "1\nweight: 2\n", 5, "", "key weight a second time"},
        {w, "a: &x 1\nb: *x\n", 1, "", "an anchor"},
        {w, "a: 1\nb: *x\n", 2, "", ""},
        {w, extra + "!!int 1\n", 4, "", "tag"},
        {w, extra + "-1\n", 4, "weight", "\"-1\""},
        {w, extra + "1001\n", 4, "weight", "\"1001\""},
        {w, extra + "\"2\"\n", 4, "weight", "\"2\""},
        {w, extra + "[2]\n", 4, "weight", "a list"},
        {w, extra + "~\n", 4, "weight", "nothing"},
        {w, extra + "1e2\n", 4, "weight", "\"1e2\""},
        {w, "concurrent_requests: 1\n", 1, "tokens_per_second", "nothing"},
        {w, kWorkspace + "default_rank: standard\n", 1, "default_rank",
         "\"standard\""},
        {w, "[[[[[[[[[1]]]]]]]]]", 1, "", "more than 8 levels"},
        {w, "? [a]\n: 1\n", 1, "", "a list or map as key"},
        {w, kWorkspace + "---\na: 1\n", 0, "", "a second document"},
        {w, "just text", 1, "", "\"just text\""},
        {w, "a: {b\n", 2, "", ""},
        {w, kWorkspace + "\x04weight: 9", 4, "", "byte 4"},
        {w, "a: \xC0\x80\n", 1, "", "byte 192"},
        {w, std::string(kMaximumSectionBytes + 1, ' '), 0, "", "16385 bytes"},
        {"workspaces/Club", kWorkspace, 0, "", "section name"},
        {"workspace/club", kWorkspace, 0, "", "section name"},
        {"teams/other", "teams: []", 0, "", "section name"},
        {"ranks/fleet", ranks, 1, "kept_share", "a sum of 1.2"},
        {"models/m", "versions: [{name: a, share: 0.5}]", 1, "versions.share",
         "a sum of 0.5"},
        {"models/m", "versions: [{name: a}]\nretry_budget: 0.2", 2,
         "retry_budget", "\"0.2\""},
        {"services/s", "calls: [{method: POST, path: /a*b}]", 1, "calls.path",
         "\"/a*b\""},
        {"endpoints/e", "gpu: {role: big, serves: []}", 1, "gpu.role",
         "\"big\""},
        {"teams/root",
         "teams:\n" + Team("a", kKeyText, "models/*") +
             Team("b", kOtherKeyText, "models/x"),
         3, "teams.owns", "models/x"},
        {"teams/root",
         "teams:\n" + Team("a", kKeyText, "models/x") +
             Team("b", kKeyText, "models/y"),
         3, "teams.keys", "a key of team a"},
        {"teams/root", "teams:\n" + Team("a", kKeyText, "teams/root"), 2,
         "teams.owns", "\"teams/root\""},
    };
    for (const rejected_case& c : cases) Rejects(c);
  }

  // Guards against a field that is read into the wrong member or with the wrong
  // unit.
  void section_each_kind_is_read_into_its_aggregate() {
    const auto limits = ParseSection(section_name("workspaces/w"), kWorkspace);
    const workspace_policy expected{2000, 20, 1, 0b001, 0};
    CPPUNIT_ASSERT(std::get<workspace_policy>(limits.value()) == expected);

    const auto ranks =
        ParseSection(section_name("ranks/fleet"),
                     Rank("urgent", "0.7") + Rank("standard", "0.2") +
                         Rank("background", "0.1"));
    const auto& urgent = std::get<rank_policies>(ranks.value())[0];
    CPPUNIT_ASSERT(urgent.first_token_target == std::chrono::milliseconds(900));
    CPPUNIT_ASSERT(urgent.maximum_deadline == std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(0.7, urgent.kept_share);

    const auto model = ParseSection(
        section_name("models/m"), "versions: [{name: a}]\nfencing: checked\n");
    const auto& pool = std::get<pool_policy>(model.value());
    CPPUNIT_ASSERT(pool.engines_check_fencing && !pool.is_service);
    CPPUNIT_ASSERT_EQUAL(1.25, pool.load_bound);

    const auto teams =
        ParseSection(section_name("teams/root"),
                     "teams:\n" + Team("a", kKeyText, "models/*"));
    const auto& team = std::get<team_policies>(teams.value())[0];
    CPPUNIT_ASSERT(team.keys[0].not_after ==
                   ParseWallTime("2027-01-01T00:00:00Z"));
  }

  // Guards against a crash, an uncaught exception or an error without text on
  // bytes that are changed or repeated.
  void section_damaged_bytes_give_an_error_or_a_value() {
    CPPUNIT_ASSERT(rc::check("damaged sections", [] {
      std::string bytes =
          "teams:\n" + Team("a", kKeyText, "models/*") + kWorkspace;
      const auto edits = *rc::gen::inRange<std::size_t>(1, 8);
      for (std::size_t i = 0; i < edits; ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        const auto damage = *rc::gen::elementOf(
            std::string("{}[]:,&*!|>'\"%@`#-? \n\t\x01\xFF~0a"));
        if (*rc::gen::arbitrary<bool>()) {
          bytes[at] = damage;
        } else {
          bytes.insert(at, *rc::gen::inRange<std::size_t>(1, 40), damage);
        }
      }
      for (const char* name : {"teams/root", "workspaces/w", "endpoints/e"}) {
        const auto parsed = ParseSection(section_name(name), bytes);
        if (!parsed) RC_ASSERT(!parsed.error().allowed.empty());
      }
    }));
  }

  // Guards against a booking that is sent twice because an equivalent form of
  // its path does not match the rule.
  void call_disguised_path_is_not_repeatable() {
    pool_policy policy;
    policy.is_service = true;
    policy.calls = {{"GET", "/book*", false}, {"POST", "/quote*", true}};
    CPPUNIT_ASSERT(policy.IsRepeatable("GET", "/list?x=%20"));
    CPPUNIT_ASSERT(policy.IsRepeatable("POST", "/quotes/4"));
    for (const char* path :
         {"/book", "/book/2", "/b%6fok", "//book", "/x/../book", "/./book"}) {
      CPPUNIT_ASSERT_MESSAGE(path, !policy.IsRepeatable("GET", path));
    }
    CPPUNIT_ASSERT(!policy.IsRepeatable("POST", "/quotes/../charge"));
    CPPUNIT_ASSERT(!policy.IsRepeatable("PUT", "/list"));
  }

  // Guards against a change that becomes visible in an earlier snapshot, which
  // a request may still use.
  void snapshot_earlier_version_is_not_changed() {
    snapshot_builder builder;
    const section_name section("workspaces/w");
    CPPUNIT_ASSERT(builder.Apply(section, kWorkspace).has_value());
    const auto first = builder.Build(document_version(1), true);
    CPPUNIT_ASSERT(
        builder.Apply(section, kWorkspace + "weight: 7").has_value());
    const auto second = builder.Build(document_version(2), true);
    CPPUNIT_ASSERT(builder.Apply(section, "").has_value());
    const auto third = builder.Build(document_version(3), true);
    const workspace_id id("w");
    CPPUNIT_ASSERT_EQUAL(1, int{first->FindWorkspace(id)->weight});
    CPPUNIT_ASSERT_EQUAL(7, int{second->FindWorkspace(id)->weight});
    CPPUNIT_ASSERT(third->FindWorkspace(id) == nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(section_parser_test);

}  // namespace marjoramsill
