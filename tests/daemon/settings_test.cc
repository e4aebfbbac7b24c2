#include "process/daemon/settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

namespace marjoramsill {
namespace {

// The error cases refer to the line numbers of this text.
const std::string kSettings =
    "vm: vm1\n"
    "failure_domain: perth\n"
    "callers: 127.0.0.1:7601\n"
    "control: 127.0.0.1:7602\n"
    "peers: 127.0.0.1:7603\n"
    "root_key: AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\n"
    "data_folder: /data\n"
    "fleet:\n"
    " - {vm: vm1, failure_domain: perth, peers: 127.0.0.1:7603, control: "
    "voter}\n"
    " - {vm: vm2, failure_domain: bunbury, peers: \"[::1]:7604\"}\n"
    "settle_ms: 50\n";

struct invalid_case {
  /// Text of kSettings and its replacement.
  std::string from;
  std::string to;
  int line;
  std::string field;
  std::string found;
  std::string allowed;
};

std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = kSettings;
  const std::size_t at = text.find(from);
  CPPUNIT_ASSERT_MESSAGE(from, at != std::string::npos);
  return text.replace(at, from.size(), to);
}

}  // namespace

class settings_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(settings_test);
  CPPUNIT_TEST(settings_file_is_read_completely);
  CPPUNIT_TEST(settings_wrong_value_names_line_field_found_and_allowed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a value that is stored in the wrong field and against
  // unintended changes of defaults.
  void settings_file_is_read_completely() {
    const auto parsed = ParseSettings("vm1.yaml", kSettings);
    CPPUNIT_ASSERT_MESSAGE(parsed ? "" : Describe(parsed.error()),
                           parsed.has_value());
    const settings& read = parsed.assume_value();
    CPPUNIT_ASSERT(read.vm == vm_id("vm1"));
    CPPUNIT_ASSERT(read.failure_domain == failure_domain_id("perth"));
    CPPUNIT_ASSERT((read.callers == socket_address{"127.0.0.1", 7601}));
    CPPUNIT_ASSERT((read.control == socket_address{"127.0.0.1", 7602}));
    CPPUNIT_ASSERT((read.peers == socket_address{"127.0.0.1", 7603}));
    CPPUNIT_ASSERT_EQUAL(std::string("/data"), read.data_folder);
    CPPUNIT_ASSERT(read.drain_delay == std::chrono::milliseconds(50));
    CPPUNIT_ASSERT(!read.tls);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, read.claim_groups);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read.fleet.size());
    CPPUNIT_ASSERT(read.fleet[0].control == control_role::kVoter);
    const fleet_vm* other = read.FindVm(vm_id("vm2"));
    CPPUNIT_ASSERT(other != nullptr);
    CPPUNIT_ASSERT((other->peers == socket_address{"::1", 7604}));
    CPPUNIT_ASSERT(other->control == control_role::kNone);
    CPPUNIT_ASSERT(read.FindVm(vm_id("vm3")) == nullptr);
  }

  // Guards against invalid settings that are accepted and against errors that
  // do not name the place of the fault.
  void settings_wrong_value_names_line_field_found_and_allowed() {
    const std::string address = "IP:PORT";
    const std::vector<invalid_case> cases = {
        {"settle_ms", "setle_ms", 11, "setle_ms", "an unknown key", ""},
        {"settle_ms: 50", "settle_ms: 60001", 11, "settle_ms", "60001",
         "60000"},
        {"callers: 127.0.0.1:7601", "callers: localhost:7601", 3, "callers",
         "localhost:7601", address},
        {"callers: 127.0.0.1:7601", "callers: 127.0.0.1:70000", 3, "callers",
         "70000", address},
        {"control: 127.0.0.1:7602\n", "", 1, "control", "nothing", address},
        {"\"[::1]:7604\"", "\"::1:7604\"", 10, "fleet[1].peers", "::1:7604",
         address},
        {"vm: vm1\n", "vm: vm3\n", 1, "fleet", "vm3", "own"},
        {"data_folder: /data\n", "", 1, "data_folder", "nothing", "a path"},
        {"control: voter", "control: none", 1, "data_folder", "/data",
         "no control member"},
        {"control: voter", "control: leader", 9, "fleet[0].control", "leader",
         "voter, standby or none"},
        {"failure_domain: perth\n", "failure_domain: bunbury\n", 1,
         "failure_domain", "bunbury", "perth"},
        {"{vm: vm2", "{vm: vm1", 10, "fleet[1].vm", "vm1", "each VM once"},
        {" - {vm: vm2, failure_domain: bunbury, peers: \"[::1]:7604\"}",
         " - vm2", 10, "fleet[1]", "vm2", "a map"},
        {"AAA=", "AAA", 6, "root_key", "AAA", "Ed25519"},
        {"settle_ms: 50", "log_level: loud", 11, "log_level", "loud", "debug"},
        {"settle_ms: 50", "claim_groups: 0", 11, "claim_groups", "0", "1"},
        {"settle_ms: 50", "tls: {certificate: a, key: b}", 11, "tls.authority",
         "nothing", "a path"},
        {"settle_ms: 50", "vm: vm2", 11, "", "vm", ""},
    };
    for (const invalid_case& c : cases) {
      const auto parsed = ParseSettings("vm1.yaml", Replaced(c.from, c.to));
      CPPUNIT_ASSERT_MESSAGE("accepted: " + c.to, !parsed);
      const section_error& error = parsed.assume_error();
      const std::string shown = Describe(error);
      CPPUNIT_ASSERT_MESSAGE(shown, shown.starts_with("vm1.yaml"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, c.line, error.line);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, c.field, error.field);
      CPPUNIT_ASSERT_MESSAGE(shown,
                             error.found.find(c.found) != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(
          shown, error.allowed.find(c.allowed) != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(shown, !error.allowed.empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_test);

}  // namespace marjoramsill
