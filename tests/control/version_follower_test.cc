#include "process/control/version_follower.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <iostream>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet_simulation.h"
#include "process/control/relay_tree.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<vm_location> Vms(std::size_t domains, std::size_t in_each) {
  std::vector<vm_location> vms;
  for (std::size_t d = 0; d < domains; ++d) {
    for (std::size_t i = 0; i < in_each; ++i) {
      const std::string domain(1, static_cast<char>('a' + d));
      vms.push_back(
          {vm_id(domain + std::to_string(100 + i)), failure_domain_id(domain)});
    }
  }
  return vms;
}

std::string Limits(std::uint64_t tokens_per_second) {
  return "tokens_per_second: " + std::to_string(tokens_per_second) +
         "\nconcurrent_requests: 4\n";
}

std::string Model(std::uint64_t number) {
  return "versions: [{name: v" + std::to_string(number) + "}]\n";
}

std::string Workspace(std::uint64_t number) {
  return "workspaces/w" + std::to_string(number);
}

// One step of a schedule; RapidCheck shrinks the list.
struct step {
  int kind = 0;
  int target = 0;
  int wait_ms = 0;
};

void showValue(const step& value, std::ostream& out) {
  out << "{" << value.kind << ", " << value.target << ", " << value.wait_ms
      << " ms}";
}

// Pads a section so that the fetch responses need several messages.
std::string Padded(std::string bytes, std::size_t size) {
  return std::move(bytes) + "# " + std::string(size, 'x') + "\n";
}

void Apply(const step& next, fleet_simulation& fleet, std::uint64_t& counter) {
  const auto target = static_cast<std::size_t>(next.target);
  const auto& vms = fleet.nodes();
  switch (next.kind) {
    case 0:
    case 1:
    case 2:
      fleet.Commit(Workspace(target % 4), Padded(Limits(++counter), 700));
      break;
    case 3:
      fleet.Commit("models/m" + std::to_string(target % 3),
                   Padded(Model(++counter), 3000));
      break;
    case 4:
      fleet.Restart(target % vms.size());
      break;
    case 5:
      fleet.Isolate(vms[target % vms.size()].location.domain);
      break;
    case 6:
      fleet.ReconnectAll();
      break;
    case 7:
      fleet.Save(target % vms.size());
      break;
    case 8:
      fleet.RequestWorkspace(target % vms.size(),
                             workspace_id("w" + std::to_string(target % 6)));
      break;
    default:
      break;
  }
  fleet.RunFor(milliseconds(next.wait_ms));
}

}  // namespace

class version_follower_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(version_follower_test);
  CPPUNIT_TEST(tree_reaches_each_vm_once_with_at_most_four_children);
  CPPUNIT_TEST(change_reaches_all_vms_by_pushes_alone);
  CPPUNIT_TEST(new_vm_installs_newest_version_of_its_peers);
  CPPUNIT_TEST(new_vm_holds_other_sections_before_workspaces);
  CPPUNIT_TEST(new_vm_gets_requested_workspace_at_once);
  CPPUNIT_TEST(restarted_vm_with_older_document_waits_for_minimum_version);
  CPPUNIT_TEST(staged_changes_need_a_peer_that_is_not_older);
  CPPUNIT_TEST(schedules_versions_never_decrease_and_all_converge);
  CPPUNIT_TEST(decoders_damaged_bytes_give_typed_errors);
  CPPUNIT_TEST_SUITE_END();

  static vm_location Self() { return {vm_id("a100"), failure_domain_id("a")}; }

 public:
  // Guards against a VM that has no parent in the relay tree, and against a VM
  // with so many children that it exceeds its byte rate.
  void tree_reaches_each_vm_once_with_at_most_four_children() {
    for (std::size_t in_each : {1, 2, 5, 11, 33}) {
      const auto vms = Vms(10, in_each);
      const vm_id root = vms[vms.size() / 2].vm;
      const relay_tree tree(vms, root);
      std::set<vm_id> reached{root};
      std::vector<vm_id> level{root};
      std::size_t depth = 0;
      for (; !level.empty(); ++depth) {
        std::vector<vm_id> next;
        for (const vm_id& vm : level) {
          const auto children = tree.Children(vm);
          CPPUNIT_ASSERT(children.size() <= 4);
          for (const vm_id& child : children) {
            CPPUNIT_ASSERT(reached.insert(child).second);
            next.push_back(child);
          }
        }
        level = next;
      }
      CPPUNIT_ASSERT_EQUAL(vms.size(), reached.size());
      CPPUNIT_ASSERT(depth - 1 <= 6);
    }
  }

  // Guards against VMs that do not forward pushes. Fetches after heartbeats
  // would hide this fault, but delay changes by seconds.
  void change_reaches_all_vms_by_pushes_alone() {
    fleet_simulation fleet(Vms(3, 7), {}, {}, 1);
    fleet.Commit("models/m", Model(1));
    fleet.RunFor(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{21},
                         fleet.CountInForce(document_version(1)));
    CPPUNIT_ASSERT_EQUAL(std::string(), fleet.violation());
  }

  // Guards against a VM that starts with the first version that it receives
  // while a peer holds a newer one.
  void new_vm_installs_newest_version_of_its_peers() {
    version_follower follower({Self(), {}, {}}, {}, [] { return 0U; });
    const steady_time start{};
    (void)follower.OnVmList(start, Vms(1, 4));
    CPPUNIT_ASSERT(
        follower.OnPeerVersion(start, vm_id("a101"), document_version(5))
            .empty());
    CPPUNIT_ASSERT(
        follower.OnPeerVersion(start, vm_id("a102"), document_version(9))
            .empty());
    const auto actions = follower.OnTick(start + seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
    CPPUNIT_ASSERT(std::get<send_fetch>(actions[0]).to == vm_id("a102"));
  }

  // Guards against a new VM that cannot serve until 45,000 workspaces have
  // arrived, and against a byte rate that a new VM exceeds.
  void new_vm_holds_other_sections_before_workspaces() {
    fleet_simulation fleet(Vms(2, 3), {}, {}, 2);
    policy_document document;
    for (std::uint64_t v = 1; v <= 1000; ++v) {
      const bool model = v % 100 == 0;
      document.Put(std::make_shared<const section_record>(section_record{
          section_name(model ? "models/m" + std::to_string(v) : Workspace(v)),
          section_version(v), team_id("clubs"), model ? Model(v) : Limits(v)}));
    }
    document.set_version(document_version(1000));
    fleet.Preload(document, {0, 1, 2, 3, 4});
    fleet.RunFor(seconds(4));
    const auto& new_vm = fleet.nodes()[5];
    CPPUNIT_ASSERT(new_vm.snapshot != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, new_vm.snapshot->pools().size());
    CPPUNIT_ASSERT(!new_vm.snapshot->workspaces_complete());
    CPPUNIT_ASSERT(fleet.RunUntilConverged(seconds(120)));
    const double elapsed =
        std::chrono::duration<double>(fleet.now().time_since_epoch()).count();
    CPPUNIT_ASSERT(
        static_cast<double>(new_vm.received_bytes + new_vm.heartbeat_bytes) <
        3000 * elapsed);
  }

  // Guards against a request that waits for the paced background fetch, and
  // against repeated fetches of a workspace that does not exist.
  void new_vm_gets_requested_workspace_at_once() {
    fleet_simulation fleet(Vms(2, 3), {}, {}, 3);
    for (std::uint64_t v = 1; v <= 200; ++v) {
      fleet.Commit(Workspace(v), Limits(v));
      fleet.RunFor(milliseconds(20));
    }
    fleet.Restart(4);
    fleet.RunFor(seconds(4));
    CPPUNIT_ASSERT(!fleet.nodes()[4].snapshot->workspaces_complete());
    fleet.RequestWorkspace(4, workspace_id("w200"));
    fleet.RequestWorkspace(4, workspace_id("unknown"));
    fleet.RunFor(milliseconds(200));
    const auto& vm = fleet.nodes()[4];
    CPPUNIT_ASSERT(vm.workspace_exists.at(workspace_id("w200")));
    CPPUNIT_ASSERT(!vm.workspace_exists.at(workspace_id("unknown")));
    CPPUNIT_ASSERT(vm.snapshot->FindWorkspace(workspace_id("w200")) != nullptr);
    const std::uint64_t sent = vm.sent_bytes;
    fleet.RequestWorkspace(4, workspace_id("unknown"));
    CPPUNIT_ASSERT_EQUAL(sent, vm.sent_bytes);
  }

  // Guards against a VM that restarts from its disk with an older version than
  // the one that it had in force.
  void restarted_vm_with_older_document_waits_for_minimum_version() {
    fleet_simulation fleet(Vms(2, 2), {1}, {}, 4);
    fleet.Commit(Workspace(1), Limits(1));
    fleet.RunFor(seconds(3));
    fleet.Save(1);
    fleet.Commit(Workspace(1), Limits(900));
    fleet.RunFor(seconds(1));
    fleet.network().loss = 1;
    fleet.Restart(1);
    fleet.RunFor(seconds(5));
    CPPUNIT_ASSERT(fleet.nodes()[1].snapshot == nullptr);
    fleet.network().loss = 0;
    CPPUNIT_ASSERT(fleet.RunUntilConverged(seconds(10)));
    CPPUNIT_ASSERT_EQUAL(std::string(), fleet.violation());
  }

  // Guards against a version assembled from the response of a newer peer, which
  // leaves out superseded sections, and the response of an older peer.
  void staged_changes_need_a_peer_that_is_not_older() {
    const steady_time start{};
    policy_document own;
    own.Put(std::make_shared<const section_record>(section_record{
        section_name(Workspace(1)), section_version(1), {}, Limits(1)}));
    own.set_version(document_version(1));
    version_follower follower({Self(), own, {}}, {}, [] { return 0U; });
    (void)follower.OnVmList(start, Vms(1, 3));
    (void)follower.OnPeerVersion(start, vm_id("a101"), document_version(9));
    auto actions = follower.OnTick(start + milliseconds(400));
    auto sent = std::get<send_fetch>(actions.at(0));
    fetch_response first;
    first.id = sent.request.id;
    first.version = document_version(9);
    first.through = section_version(7);
    actions =
        follower.OnFetchResponse(start + milliseconds(400), sent.to, first);
    sent = std::get<send_fetch>(actions.at(0));
    fetch_response older;
    older.id = sent.request.id;
    older.version = document_version(8);
    older.through = section_version(8);
    (void)follower.OnFetchResponse(start + milliseconds(401), sent.to, older);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, follower.version().value());
  }

  // Runs generated schedules of changes, lost, delayed, duplicated and
  // reordered messages, restarts and isolated failure domains. Guards against a
  // version that decreases, a version in force that mixes sections of two
  // versions, and a VM that does not catch up.
  void schedules_versions_never_decrease_and_all_converge() {
    const auto schedule = [] {
      network_model network;
      network.loss = *rc::gen::inRange(0, 4) * 0.1;
      network.duplicates = *rc::gen::inRange(0, 4) * 0.1;
      network.extra_delay = milliseconds(*rc::gen::inRange(0, 1500));
      const auto in_each = *rc::gen::inRange<std::size_t>(1, 4);
      const auto seed = *rc::gen::arbitrary<std::uint64_t>();
      fleet_simulation fleet(Vms(3, in_each), {1}, network, seed);
      std::uint64_t counter = 0;
      const auto steps =
          *rc::gen::container<std::vector<step>>(rc::gen::build<step>(
              rc::gen::set(&step::kind, rc::gen::inRange(0, 10)),
              rc::gen::set(&step::target, rc::gen::inRange(0, 60)),
              rc::gen::set(&step::wait_ms, rc::gen::elementOf(std::vector<int>{
                                               0, 1, 50, 400, 1200, 3000}))));
      for (const step& next : steps) Apply(next, fleet, counter);
      fleet.ReconnectAll();
      fleet.network().loss = 0;
      fleet.Commit("models/last", Model(1));
      // After an isolation, 8 VMs may need about 24 KB each from the only peer
      // that is up to date, which may be 64 KB ahead of its 2,000 bytes a
      // second. This takes about 130 s, and more when responses are late.
      const bool converged = fleet.RunUntilConverged(seconds(300));
      RC_ASSERT(fleet.violation() == "");
      RC_ASSERT(converged);
    };
    auto params = rc::detail::configuration().testParams;
    params.maxSuccess = MARJORAMSILL_SCHEDULES;
    rc::detail::TestMetadata metadata;
    metadata.id = "distribution schedules";
    const auto result = rc::detail::checkTestable(schedule, metadata, params);
    rc::detail::printResultMessage(result, std::cerr);
    CPPUNIT_ASSERT(result.is<rc::detail::SuccessResult>());
  }

  // Guards against a crash or an unbounded allocation on messages from a faulty
  // peer.
  void decoders_damaged_bytes_give_typed_errors() {
    auto record = std::make_shared<const section_record>(
        section_record{section_name(Workspace(1)), section_version(3),
                       team_id("clubs"), Limits(1)});
    fetch_response response;
    response.records = {record, record};
    const std::string push = EncodePush({vm_id("a1"), record});
    const std::string fetch =
        EncodeFetch({7, fetch_scope::kNamed, {}, {}, {record->name}});
    const std::string encoded = EncodeFetchResponse(response);
    CPPUNIT_ASSERT(*DecodePush(push).value().record == *record);
    CPPUNIT_ASSERT(DecodeFetch(fetch).value().names.front() == record->name);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         DecodeFetchResponse(encoded).value().records.size());
    for (const std::string& bytes : {push, fetch, encoded}) {
      for (std::size_t size = 0; size < bytes.size(); ++size) {
        const std::string part = bytes.substr(0, size);
        CPPUNIT_ASSERT(!DecodePush(part) && !DecodeFetch(part) &&
                       !DecodeFetchResponse(part));
      }
    }
    CPPUNIT_ASSERT(DecodePush(std::string(1'000'000, '\x92')).error().kind ==
                   wire_error_kind::kTooLarge);
    CPPUNIT_ASSERT(DecodeFetchResponse("\xDD\xFF\xFF\xFF\xFF").error().kind ==
                   wire_error_kind::kTooLarge);
    CPPUNIT_ASSERT(DecodeFetch("\x91\xA1x").error().kind ==
                   wire_error_kind::kWrongType);
    CPPUNIT_ASSERT(rc::check("damaged messages", [&] {
      std::string bytes =
          *rc::gen::elementOf(std::vector<std::string>{push, fetch, encoded});
      bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
          *rc::gen::arbitrary<char>();
      (void)DecodePush(bytes);
      (void)DecodeFetch(bytes);
      (void)DecodeFetchResponse(bytes);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(version_follower_test);

}  // namespace marjoramsill
