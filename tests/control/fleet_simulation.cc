#include "fleet_simulation.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "version/section_kind.h"

namespace marjoramsill {
namespace {

constexpr auto kTick = std::chrono::milliseconds(100);
constexpr auto kHeartbeatInterval = std::chrono::seconds(1);
// Encoded size of a heartbeat with a document version, rounded up.
constexpr std::uint64_t kHeartbeatBytes = 64;
// In fleets up to this size, heartbeats are sent to all peers.
constexpr std::size_t kMaxVmsAllToAll = 6;
// Receivers of each heartbeat in the failure domain of the sender and in the
// others.
constexpr std::size_t kNearHeartbeats = 3;
constexpr std::size_t kFarHeartbeats = 1;
constexpr std::size_t kMaxSectionsChecked = 200;

}  // namespace

fleet_simulation::fleet_simulation(const std::vector<vm_location>& vms,
                                   std::set<std::size_t> with_disk,
                                   network_model network, std::uint64_t seed)
    : vms_(vms), network_(std::move(network)), random_(seed) {
  with_disk.insert(0);
  nodes_.resize(vms.size());
  for (std::size_t i = 0; i < vms.size(); ++i) {
    nodes_[i].location = vms[i];
    nodes_[i].has_disk = with_disk.contains(i);
    index_[vms[i].vm] = i;
  }
  for (std::size_t i = 0; i < vms.size(); ++i) StartNode(i);
}

double fleet_simulation::Uniform() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

void fleet_simulation::At(steady_time time, std::function<void()> run) {
  events_.push({time, next_order_++, std::move(run)});
}

void fleet_simulation::StartNode(std::size_t index) {
  node& vm = nodes_[index];
  const std::uint64_t incarnation = ++vm.incarnation;
  follower_start start{vm.location, {}, {}};
  if (vm.has_disk) {
    start.document = vm.saved;
    start.minimum_version = vm.persisted;
  }
  // The policy state of the leader is durable, so it restarts with the complete
  // document.
  if (index == 0) start.document = accepted_;
  vm.snapshot = nullptr;
  vm.follower = std::make_unique<version_follower>(
      std::move(start), follower_options{}, [this] { return random_(); });
  Perform(index, vm.follower->OnVmList(now_, vms_));
  Perform(index, vm.follower->Start(now_));
  const auto phase = std::chrono::microseconds(random_() % 100'000);
  At(now_ + phase, [this, index, incarnation] { Tick(index, incarnation); });
  At(now_ + phase * 10,
     [this, index, incarnation] { Heartbeat(index, incarnation); });
}

void fleet_simulation::Preload(const policy_document& document,
                               const std::set<std::size_t>& vms) {
  accepted_ = document;
  for (const auto& [version, record] : document.by_version()) {
    history_[record->name][version] = record;
  }
  for (const std::size_t i : vms) {
    Perform(i, nodes_[i].follower->OnRestored(now_, document));
  }
}

void fleet_simulation::Commit(const std::string& section,
                              const std::string& bytes) {
  accepted_.set_version(accepted_.version().Next());
  auto record = std::make_shared<const section_record>(section_record{
      section_name(section), section_version(accepted_.version().value()),
      team_id("clubs"), bytes});
  accepted_.Put(record);
  history_[record->name][record->version] = record;
  Perform(0, nodes_[0].follower->OnCommitted(now_, record, true));
}

void fleet_simulation::RunFor(std::chrono::microseconds time) {
  const steady_time end = now_ + time;
  while (!events_.empty() && events_.top().at <= end) {
    const event next = events_.top();
    events_.pop();
    now_ = next.at;
    next.run();
  }
  now_ = end;
}

void fleet_simulation::Restart(std::size_t index) { StartNode(index); }

void fleet_simulation::Save(std::size_t index) {
  const held_document& held = nodes_[index].follower->held();
  if (held.complete()) nodes_[index].saved = held.document();
}

void fleet_simulation::RequestWorkspace(std::size_t index,
                                        const workspace_id& id) {
  Perform(index, nodes_[index].follower->OnWorkspaceRequested(now_, id));
}

void fleet_simulation::Tick(std::size_t index, std::uint64_t incarnation) {
  if (nodes_[index].incarnation != incarnation) return;
  Perform(index, nodes_[index].follower->OnTick(now_));
  At(now_ + kTick, [this, index, incarnation] { Tick(index, incarnation); });
}

void fleet_simulation::Heartbeat(std::size_t index, std::uint64_t incarnation) {
  node& from = nodes_[index];
  if (from.incarnation != incarnation) return;
  std::vector<std::size_t> near;
  std::vector<std::size_t> far;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (i == index) continue;
    (nodes_[i].location.domain == from.location.domain ? near : far)
        .push_back(i);
  }
  std::shuffle(near.begin(), near.end(), random_);
  std::shuffle(far.begin(), far.end(), random_);
  if (nodes_.size() > kMaxVmsAllToAll) {
    near.resize(std::min(near.size(), kNearHeartbeats));
    far.resize(std::min(far.size(), kFarHeartbeats));
  }
  near.insert(near.end(), far.begin(), far.end());
  const document_version version = from.follower->version();
  for (const std::size_t to : near) {
    from.heartbeat_bytes += kHeartbeatBytes;
    nodes_[to].heartbeat_bytes += kHeartbeatBytes;
    const vm_id sender = from.location.vm;
    Transmit(index, nodes_[to].location.vm, "",
             [this, sender, version](std::size_t i, const std::string&) {
               Perform(
                   i, nodes_[i].follower->OnPeerVersion(now_, sender, version));
             });
  }
  At(now_ + kHeartbeatInterval,
     [this, index, incarnation] { Heartbeat(index, incarnation); });
}

void fleet_simulation::Transmit(
    std::size_t from, const vm_id& to, std::string bytes,
    std::function<void(std::size_t, const std::string&)> deliver) {
  const std::size_t index = index_.at(to);
  node& sender = nodes_[from];
  node& receiver = nodes_[index];
  sender.sent_bytes += bytes.size();
  const bool crosses = sender.location.domain != receiver.location.domain;
  const bool is_cut = crosses && (isolated_.contains(sender.location.domain) ||
                                  isolated_.contains(receiver.location.domain));
  if (is_cut || Uniform() < network_.loss) return;
  const int copies = Uniform() < network_.duplicates ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const auto extra = std::chrono::microseconds(static_cast<std::int64_t>(
        Uniform() * static_cast<double>(network_.extra_delay.count())));
    At(now_ + network_.delay(sender.location, receiver.location) + extra,
       [this, index, bytes, deliver] {
         nodes_[index].received_bytes += bytes.size();
         deliver(index, bytes);
       });
  }
}

void fleet_simulation::Perform(std::size_t index, follower_actions actions) {
  const vm_id self = nodes_[index].location.vm;
  for (follower_action& action : actions) {
    if (auto* install = std::get_if<install_version>(&action)) {
      Install(nodes_[index], *install);
    } else if (auto* workspace = std::get_if<workspace_response>(&action)) {
      nodes_[index].workspace_exists[workspace->id] = workspace->exists;
    } else if (auto* push = std::get_if<send_push>(&action)) {
      Transmit(index, push->to, EncodePush(push->push),
               [this](std::size_t i, const std::string& bytes) {
                 Perform(i, nodes_[i].follower->OnPush(
                                now_, DecodePush(bytes).value()));
               });
    } else if (auto* fetch = std::get_if<send_fetch>(&action)) {
      Transmit(index, fetch->to, EncodeFetch(fetch->request),
               [this, self](std::size_t i, const std::string& bytes) {
                 Perform(i, nodes_[i].follower->OnFetch(
                                now_, self, DecodeFetch(bytes).value()));
               });
    } else if (auto* sent = std::get_if<send_response>(&action)) {
      Transmit(index, sent->to, EncodeFetchResponse(sent->payload),
               [this, self](std::size_t i, const std::string& bytes) {
                 Perform(i,
                         nodes_[i].follower->OnFetchResponse(
                             now_, self, DecodeFetchResponse(bytes).value()));
               });
    }
  }
}

void fleet_simulation::Check(bool holds, const node& vm,
                             const std::string& what) {
  if (holds || !violation_.empty()) return;
  violation_ = what + " on " + vm.location.vm.value() + " at " +
               std::to_string(now_.time_since_epoch().count()) + " us";
}

void fleet_simulation::Install(node& vm, const install_version& action) {
  const document_version version = action.snapshot->version();
  Check(action.errors.empty(), vm, "section not compiled");
  Check(vm.snapshot == nullptr || version >= vm.snapshot->version(), vm,
        "document version decreased");
  if (vm.has_disk) {
    Check(version >= vm.persisted, vm,
          "document version is below the persisted one");
    vm.persisted = version;
  }
  vm.snapshot = action.snapshot;
  // Checking a large document at each change would take most of the run time.
  if (accepted_.size() <= kMaxSectionsChecked) CheckSections(vm);
}

// Checks that each section is the newest one up to the version in force.
void fleet_simulation::CheckSections(const node& vm) {
  const held_document& held = vm.follower->held();
  for (const auto& [name, versions] : history_) {
    auto next = versions.upper_bound(section_version(held.version().value()));
    const section_ptr record = held.document().Find(name);
    if (next == versions.begin()) {
      Check(record == nullptr, vm,
            "section is newer than the document version");
      continue;
    }
    const section_record& expected = *std::prev(next)->second;
    const bool may_be_missing =
        !held.complete() && KindOf(name) == section_kind::kWorkspaces;
    if (record == nullptr) {
      Check(may_be_missing, vm, "section " + name.value() + " missing");
    } else {
      Check(*record == expected, vm, "section " + name.value() + " differs");
    }
  }
}

bool fleet_simulation::Converged() const {
  return std::all_of(nodes_.begin(), nodes_.end(), [this](const node& vm) {
    return vm.snapshot != nullptr &&
           vm.snapshot->version() == accepted_.version() &&
           vm.snapshot->workspaces_complete() &&
           std::equal(vm.follower->held().document().by_version().begin(),
                      vm.follower->held().document().by_version().end(),
                      accepted_.by_version().begin(),
                      accepted_.by_version().end(),
                      [](const auto& a, const auto& b) {
                        return *a.second == *b.second;
                      });
  });
}

bool fleet_simulation::RunUntilConverged(std::chrono::microseconds limit) {
  const steady_time end = now_ + limit;
  while (!Converged()) {
    if (now_ >= end) return false;
    RunFor(std::chrono::milliseconds(100));
  }
  return true;
}

std::size_t fleet_simulation::CountInForce(document_version version) const {
  return static_cast<std::size_t>(
      std::count_if(nodes_.begin(), nodes_.end(), [&](const node& vm) {
        return vm.snapshot != nullptr && vm.snapshot->version() >= version;
      }));
}

void fleet_simulation::ResetCounters() {
  for (node& vm : nodes_) {
    vm.sent_bytes = vm.received_bytes = vm.heartbeat_bytes = 0;
  }
}

}  // namespace marjoramsill
