#ifndef MARJORAMSILL_TESTS_REPLICATION_CLUSTER_H_
#define MARJORAMSILL_TESTS_REPLICATION_CLUSTER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "memory_disk.h"
#include "process/replication/log_store.h"
#include "process/replication/message_codec.h"
#include "process/replication/replicated_group.h"
#include "shared_link.h"

namespace marjoramsill {

struct cluster_options {
  std::size_t vms = 6;
  std::size_t voters = 5;
  std::size_t domains = 3;
  std::uint64_t seed = 1;
  /// Maximum relative deviation of a VM's clock rate from the true rate.
  double drift = 0.03;
  /// A VM with a replaced disk is not told to found the group again.
  bool found_once = false;
  /// Whether messages are encoded and decoded on the way.
  bool encode = true;
  /// Small, so that short schedules fill several segments.
  std::size_t segment_bytes = 512;
  std::chrono::microseconds latency_min{300};
  std::chrono::microseconds latency_max{3000};
  std::chrono::microseconds sync_time{500};
  /// Rate of each VM's outgoing link; 0 means without a limit.
  double link_bytes_per_second = 0;
  /// On a link with a limit a message is given up after this time and that of
  /// a slow transfer of its bytes.
  std::chrono::microseconds message_timeout{700'000};
  raft_settings settings;
  /// State machines of the VMs beside the cluster's own one; each hook may be
  /// null. The number is that of the VM.
  struct machine_hooks {
    /// The process starts, without any state.
    std::function<void(std::size_t)> on_start;
    std::function<void(std::size_t, std::string_view)> apply;
    std::function<std::string(std::size_t)> take_snapshot;
    std::function<void(std::size_t, std::string_view)> install_snapshot;
  };
  machine_hooks machine;
};

/// Simulates VMs, their disks and the network between them in virtual time.
/// Checks the invariants of the replicated log after each event and keeps the
/// first violation.
class cluster {
 public:
  using time_us = std::int64_t;

  explicit cluster(cluster_options options);

  void Run(std::chrono::microseconds duration);
  bool RunUntil(const std::function<bool()>& done,
                std::chrono::microseconds limit);

  void Start(std::size_t vm);
  /// Ends the process. Written but unsynced bytes survive in the page cache.
  void Kill(std::size_t vm);
  void LosePower(std::size_t vm);
  /// Replaces the disk with an empty one that has a new id. Returns false
  /// without effect if the group could lose its majority permanently.
  bool LoseDisk(std::size_t vm);
  /// Ends the process and replaces the disk with an empty one that has a new
  /// id, whatever that means for the group. Start() starts it again.
  void ReplaceDisk(std::size_t vm);
  /// Replaces the disk with the copy taken by CopyDisk. Returns false without
  /// effect if the case is not one that the start check must detect.
  bool RestoreDisk(std::size_t vm);
  void CopyDisk(std::size_t vm);
  /// See memory_disk::SetRoom().
  void SetDiskRoom(std::size_t vm, std::optional<std::size_t> bytes) {
    vms_[vm].disk->SetRoom(bytes);
  }
  bool IsRunning(std::size_t vm) const { return vms_[vm].group != nullptr; }
  void FailSync(std::size_t vm) { vms_[vm].disk->FailNextSync(); }
  void Freeze(std::size_t vm, std::chrono::microseconds duration);
  void CutLink(std::size_t from, std::size_t to) {
    cut_links_.insert({from, to});
  }
  void Isolate(std::size_t vm);
  void Heal();
  void SetNetwork(int drop_percent, int duplicate_percent, int delay_ms);

  /// Other traffic of a VM takes a part of its outgoing link.
  void SendOther(std::size_t vm, std::size_t bytes);

  std::optional<std::uint64_t> Propose(std::size_t vm, std::string command);
  void Read(std::size_t vm);
  void Transfer(std::size_t vm);
  void Leave(std::size_t vm);

  /// VM of the running leader with the greatest term.
  std::optional<std::size_t> Leader() const;
  replicated_group* group(std::size_t vm) { return vms_[vm].group.get(); }
  const replicated_group* group(std::size_t vm) const {
    return vms_[vm].group.get();
  }
  std::size_t size() const { return vms_.size(); }
  std::uint64_t committed() const { return committed_; }
  std::uint64_t elections() const { return leaders_.size(); }
  std::uint64_t messages() const { return messages_; }
  std::uint64_t bytes() const { return bytes_; }
  std::uint64_t syncs() const;
  std::uint64_t stale_disks() const { return stale_disks_; }
  time_us now() const { return now_; }
  const std::string& violation() const { return violation_; }
  std::string Describe() const;

 private:
  struct vm_state {
    vm_id id;
    failure_domain_id domain;
    disk_id disk_number;
    disk_id first_disk;
    std::unique_ptr<memory_disk> disk;
    std::unique_ptr<log_store> store;
    std::unique_ptr<replicated_group> group;
    std::deque<storage_writes> queued;
    bool sync_scheduled = false;
    std::uint64_t run = 0;
    time_us frozen_until = 0;
    double clock_rate = 1;
    std::uint64_t applied = 0;
    std::uint64_t chain = 0;
    bool stale = false;
    time_us started_at = 0;
    /// The current start was confirmed by a majority of the other voters.
    bool start_confirmed = false;
    std::optional<log_term> term_at_isolation;
    struct copy {
      std::map<std::string, std::string> files;
      disk_id number;
      std::uint64_t run = 0;
      group_configuration configuration;
    };
    std::optional<copy> disk_copy;
    std::map<std::uint64_t, std::uint64_t> reads;
    shared_link link;
    time_us link_wakes_at = 0;
  };
  struct event {
    time_us at = 0;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return std::pair(other.at, other.order) < std::pair(at, order);
    }
  };

  void ScheduleAt(time_us time, std::function<void()> action);
  void Step();
  steady_time Clock(std::size_t vm) const;
  void ScheduleTick(std::size_t vm);
  void Deliver(std::size_t vm, const raft_message& message);
  void ProcessOutput(std::size_t vm);
  void Transmit(std::size_t from, const raft_message& message);
  void Carry(std::size_t from, std::size_t to, std::size_t bytes,
             const raft_message& message);
  void AdvanceLink(std::size_t from);
  void CompleteSync(std::size_t vm, std::uint64_t run);
  void Stop(std::size_t vm);
  void CreateDisk(std::size_t vm);
  void EndFaults(std::size_t vm, std::uint64_t run);
  bool CanLoseDisk(std::size_t vm) const;
  group_hooks Hooks(std::size_t vm);
  void RecordViolation(const std::string& what);
  void CheckMessage(const raft_message& message, std::size_t from);
  void CheckRole(std::size_t vm, const role_change& role);
  void CheckLeases();
  void RecordApplied(std::size_t vm, std::uint64_t index, std::uint64_t chain);
  std::uint64_t Random(std::uint64_t bound) { return random_() % bound; }

  cluster_options options_;
  std::mt19937_64 random_;
  time_us now_ = 1'000'000;
  std::uint64_t order_ = 0;
  std::priority_queue<event> events_;
  std::vector<vm_state> vms_;
  std::set<std::pair<std::size_t, std::size_t>> cut_links_;
  int drop_percent_ = 0;
  int duplicate_percent_ = 0;
  int delay_ms_ = 0;

  std::uint64_t committed_ = 0;
  std::uint64_t messages_ = 0;
  std::uint64_t bytes_ = 0;
  std::uint64_t stale_disks_ = 0;
  time_us next_disk_loss_allowed_ = 0;
  std::uint64_t syncs_of_replaced_disks_ = 0;
  std::uint64_t acknowledged_ = 0;
  std::map<std::uint64_t, std::uint64_t> acknowledged_by_term_;
  std::map<std::uint64_t, member_id> leaders_;
  std::map<std::pair<member_id, std::uint64_t>, member_id> votes_;
  std::map<std::uint64_t, std::uint64_t> chain_by_index_;
  std::string violation_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_REPLICATION_CLUSTER_H_
