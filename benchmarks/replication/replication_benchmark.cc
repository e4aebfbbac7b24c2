// Measures the costs of the replicated log in virtual time on the in-memory
// cluster of tests/replication. The bounds are from docs/design.md 1.7 and 6.

#include <algorithm>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "cluster.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The design allows "no submissions or claims for one election (1-2 s)" after
/// the loss of a leader. The shortest claim deadline requires nothing stricter.
constexpr double kMaximumOutageMs = 2000;
/// Limit for control traffic and probes of a node together. The log shares it
/// with other traffic, so the printed share matters more than the bound.
constexpr double kIdleBytesPerSecond = 3000;
/// One control group and eight claim groups.
constexpr std::size_t kGroups = 9;
/// Assumed overhead in bytes of a bundle that is sent as one HTTP/2 request
/// over an open TLS connection: HEADERS 9 + 20 (HPACK, indexed), DATA 9, TLS
/// record 22. The HTTP/2 response carries the responses to heartbeats, with
/// HEADERS 9 + 3, DATA 9, TLS record 22. IP and TCP headers are not counted.
constexpr double kRequestBytes = 60;
constexpr double kResponseBytes = 43;

bool failed = false;

void Require(bool holds, const std::string& bound) {
  if (holds) return;
  failed = true;
  std::printf("bound_broken=\"%s\"\n", bound.c_str());
}

cluster_options Options(std::size_t voters, std::uint64_t seed) {
  cluster_options options;
  options.vms = voters;
  options.voters = voters;
  options.seed = seed;
  // The clock drift of real machines is far below the margin of a lease.
  options.drift = 0.001;
  options.segment_bytes = std::size_t{4} * 1024 * 1024;
  return options;
}

bool HasLease(cluster& c) {
  auto leader = c.Leader();
  return leader && c.group(*leader)->HoldsLease();
}

/// Proposes commands in batches; a batch shares appends and syncs.
void MeasureCommands(std::size_t voters, std::size_t batch) {
  cluster c(Options(voters, 7));
  c.RunUntil([&] { return HasLease(c); }, seconds(20));
  c.Run(seconds(2));
  const std::size_t leader = *c.Leader();
  const std::uint64_t messages = c.messages();
  const std::uint64_t bytes = c.bytes();
  const std::uint64_t syncs = c.syncs();
  const std::uint64_t before = c.committed();
  constexpr std::size_t kCommands = 1024;
  const std::string command(200, 'x');
  for (std::size_t sent = 0; sent < kCommands; sent += batch) {
    for (std::size_t i = 0; i + 1 < batch; ++i) {
      // Only the last proposal of the batch collects the output.
      (void)c.group(leader)->Propose(command);
    }
    c.Propose(leader, command);
    const std::uint64_t goal = before + sent + batch;
    c.RunUntil([&] { return c.committed() >= goal; }, seconds(5));
  }
  const auto count = static_cast<double>(c.committed() - before);
  const double per_command =
      static_cast<double>(c.messages() - messages) / count;
  const double syncs_per_command =
      static_cast<double>(c.syncs() - syncs) / count;
  std::printf(
      "measure=command members=%zu batch=%zu commands=%.0f messages=%.3f "
      "bytes=%.1f syncs=%.3f\n",
      voters, batch, count, per_command,
      static_cast<double>(c.bytes() - bytes) / count, syncs_per_command);
  Require(count == kCommands, "every proposal is committed");
  // A batch costs one append and one response per follower; commit
  // notifications and heartbeats may double that. Each member syncs it once.
  const auto size = static_cast<double>(batch);
  const auto followers = static_cast<double>(voters - 1);
  Require(per_command * size <= 4 * followers, "messages per batch");
  Require(syncs_per_command * size <= static_cast<double>(voters) * 1.1,
          "syncs per batch");
}

void MeasureLeaderLoss(std::size_t voters) {
  std::vector<double> outages;
  std::uint64_t elections = 0;
  constexpr int kRuns = 200;
  for (int run = 0; run < kRuns; ++run) {
    cluster c(Options(voters, 1000 + run));
    c.RunUntil([&] { return HasLease(c); }, seconds(20));
    // Kills the leader at different phases of the heartbeat.
    c.Run(seconds(2) + milliseconds(run * 37 % 700));
    const std::size_t leader = *c.Leader();
    c.Kill(leader);
    const std::uint64_t before = c.committed();
    const std::uint64_t leaders = c.elections();
    const auto start = c.now();
    std::optional<std::size_t> proposed;
    c.RunUntil(
        [&] {
          const auto next = c.Leader();
          if (next && next != proposed) {
            c.Propose(*next, "x");
            proposed = next;
          }
          return c.committed() > before;
        },
        seconds(20));
    outages.push_back(static_cast<double>(c.now() - start) / 1000);
    elections += c.elections() - leaders;
  }
  std::sort(outages.begin(), outages.end());
  std::printf(
      "measure=leader_loss members=%zu runs=%d elections_per_loss=%.3f "
      "to_next_commit_ms_p50=%.0f p99=%.0f max=%.0f\n",
      voters, kRuns, static_cast<double>(elections) / kRuns, outages[kRuns / 2],
      outages[kRuns * 99 / 100], outages.back());
  Require(outages[kRuns * 99 / 100] <= kMaximumOutageMs,
          "next commit within 2 s of the loss of the leader (p99)");
}

double BundleBytes(const std::vector<raft_body>& bodies) {
  const member_id from{vm_id("hamilton-a-1"), disk_id(~0ULL)};
  const member_id to{vm_id("hamilton-b-1"), disk_id(~0ULL)};
  std::vector<group_message> bundle;
  for (const raft_body& body : bodies) {
    bundle.push_back({8, {from, to, log_term(1000), body}});
  }
  return static_cast<double>(EncodeBundle(bundle).size());
}

/// Measures the bytes that one idle VM sends for nine groups. Messages are
/// counted in one group and take the size of those in a group that has run for
/// years. All groups of a VM share the bundles of a tick.
void MeasureIdle(std::size_t voters, std::size_t standbys) {
  cluster_options options = Options(voters, 3);
  options.vms = voters + standbys;
  cluster c(options);
  c.RunUntil([&] { return HasLease(c); }, seconds(20));
  c.Run(seconds(30));
  const std::uint64_t messages = c.messages();
  constexpr double kSeconds = 70;
  c.Run(seconds(70));
  const double sent = static_cast<double>(c.messages() - messages) / kSeconds;
  const heartbeat aged_heartbeat{100'000'000, log_index(1ULL << 31U)};
  const double header = BundleBytes({aged_heartbeat}) -
                        BundleBytes({aged_heartbeat, aged_heartbeat}) +
                        BundleBytes({aged_heartbeat});
  const double message = BundleBytes({aged_heartbeat, aged_heartbeat}) -
                         BundleBytes({aged_heartbeat});
  const double ticks = 1000.0 / 700;
  const double request = header + kRequestBytes;
  const double response = header + kResponseBytes;
  // A leader sends to each voter in every tick and to each standby in every
  // fourth tick.
  const auto peers = static_cast<double>(voters - 1);
  const double contacted_peers = peers + static_cast<double>(standbys) / 4;
  // With leaders spread over the voters, each VM sends requests to all members
  // and responses to all voters.
  const double payload = kGroups * message * sent;
  const double bytes_with_spread_leaders =
      payload / static_cast<double>(voters) +
      ticks * (contacted_peers * request + peers * response);
  // One VM leads all groups and sends half of all messages.
  const double bytes_with_one_leader =
      payload / 2 + ticks * contacted_peers * request;
  std::printf(
      "measure=idle voters=%zu standbys=%zu messages_per_group=%.2f/s "
      "message_bytes=%.0f bundle_header_bytes=%.0f "
      "nine_groups_spread_bytes=%.0f/s nine_groups_one_leader_bytes=%.0f/s "
      "share_of_target=%.2f\n",
      voters, standbys, sent, message, header, bytes_with_spread_leaders,
      bytes_with_one_leader,
      std::max(bytes_with_spread_leaders, bytes_with_one_leader) /
          kIdleBytesPerSecond);
  Require(bytes_with_spread_leaders <= kIdleBytesPerSecond,
          "idle bytes with leaders spread");
  Require(bytes_with_one_leader <= kIdleBytesPerSecond,
          "idle bytes with one leader");
}

}  // namespace
}  // namespace marjoramsill

int main() {
  using namespace marjoramsill;  // NOLINT(google-build-using-namespace)
  for (std::size_t voters : {3, 5, 7}) {
    for (std::size_t batch : {1, 16, 256}) MeasureCommands(voters, batch);
  }
  for (std::size_t voters : {3, 5, 7}) MeasureLeaderLoss(voters);
  MeasureIdle(3, 0);
  MeasureIdle(5, 0);
  MeasureIdle(5, 1);
  MeasureIdle(5, 4);
  return failed ? 1 : 0;
}
