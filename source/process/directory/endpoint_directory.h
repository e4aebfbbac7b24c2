#ifndef MARJORAMSILL_PROCESS_DIRECTORY_ENDPOINT_DIRECTORY_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_ENDPOINT_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "process/directory/directory_settings.h"
#include "process/directory/endpoint_record.h"
#include "process/directory/endpoint_set_digest.h"
#include "process/directory/heartbeat_state.h"
#include "process/directory/software_history.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// The endpoints that one process knows, from heartbeats and from the
/// directories of other processes. Changes are numbered, so that a reader can
/// request those after the last one that it has applied. Merging is idempotent
/// and does not depend on the order of arrival: the newest incarnation
/// of an endpoint and its newest heartbeat win.
class endpoint_directory {
 public:
  explicit endpoint_directory(directory_settings settings = {});

  /// Applies a heartbeat that the endpoint sent to this process. Returns true
  /// if the record changed in a way that watchers have to receive at once.
  bool ReceiveHeartbeat(const endpoint_record& record, steady_time now);
  /// Marks an endpoint as ended on its own request. Other processes may know
  /// an endpoint that is unknown here; then all of its incarnations that
  /// started up to `wall_now` end. `wall_now`: clock of this VM in Unix
  /// milliseconds. Returns true if watchers have to receive the change.
  bool End(const endpoint_id& id, incarnation_number wall_now, steady_time now);
  /// Merges a record from another process. Returns true if it changed
  /// more than the sequence number and the warm-up time of a known record.
  bool Merge(const endpoint_record& record, steady_time now);
  /// Marks endpoints as silent that sent heartbeats to this process and
  /// stopped, and removes expired ones. Returns true if watchers have to
  /// receive a change.
  bool Expire(steady_time now);

  /// Number of the last change.
  std::uint64_t last_change() const { return last_change_; }
  /// Number of the last change by which an endpoint leaves or has ended.
  std::uint64_t last_ending() const { return last_ending_; }
  /// Number of the last change by which an endpoint leaves, has ended, or is
  /// cold for longer than known before.
  std::uint64_t last_urgent() const { return last_urgent_; }
  /// Records that changed after the change with this number, in the order of
  /// their changes.
  std::vector<endpoint_record> ChangesAfter(std::uint64_t change) const;
  /// Those of ChangesAfter() whose endpoint leaves or has ended.
  std::vector<endpoint_record> EndingsAfter(std::uint64_t change) const;
  /// Those of ChangesAfter() whose endpoint leaves, has ended or is cold.
  std::vector<endpoint_record> UrgentAfter(std::uint64_t change,
                                           steady_time now) const;
  /// Appends the records of cold endpoints that `records` lacks. The digests do
  /// not show that a known endpoint has become cold.
  void AppendCold(std::vector<endpoint_record>& records, steady_time now) const;
  /// Sets the warm-up time of these records to what remains of it.
  void SetRemainingCold(std::vector<endpoint_record>& records,
                        steady_time now) const;
  /// Records of the endpoints that have not ended.
  std::vector<endpoint_record> Present() const;
  /// Digests of these records.
  const endpoint_set_digest& digest() const { return digest_; }
  /// All records, ended ones included, of the parts in which these digests
  /// differ from those of this directory.
  std::vector<endpoint_record> DifferencesFrom(
      const std::vector<std::uint64_t>& digests) const;
  /// Number of endpoints that have not ended.
  std::size_t CountPresent() const;
  /// What the heartbeats that this process received show of an incarnation of
  /// an endpoint since `moment`.
  heartbeat_state HeartbeatsSince(const endpoint_id& id,
                                  incarnation_number incarnation,
                                  steady_time moment) const;
  /// Endpoints of other pools that are ready at the address of `record`.
  std::vector<endpoint_record> OtherPoolsAt(
      const endpoint_record& record) const;
  /// The record of an endpoint, or null.
  const endpoint_record* Find(const endpoint_id& id) const;
  std::size_t size() const { return entries_.size(); }
  /// Software of endpoints whose records were replaced or removed. A watcher
  /// that gets records needs it too.
  const software_history& former_software() const { return former_software_; }
  /// The same, with the software of endpoints that have ended, for a watcher
  /// that does not get their records.
  std::vector<software_presence> AllFormerSoftware(steady_time now) const;
  void MergeFormerSoftware(const std::vector<software_presence>& presences,
                           steady_time now) {
    former_software_.Merge(presences, now);
  }

 private:
  struct entry {
    endpoint_record record;
    std::uint64_t change = 0;
    /// The newest heartbeat was sent to this process. Only then this process
    /// may mark the endpoint as silent.
    bool received_here = false;
    steady_time received_at;
    /// When the endpoint is warm, by its newest heartbeat.
    steady_time cold_until;
    /// The same by the last change, which watchers have.
    steady_time announced_cold_until;
  };

  bool Store(endpoint_record record, bool received_here, steady_time now);
  void RecordChange(entry& changed);
  void SetPhase(entry& known, endpoint_phase phase);
  /// Ends all but the latest started endpoint at the address of `record`, since
  /// an address serves one endpoint at a time.
  void EndOthersAt(const endpoint_record& record, steady_time now);
  bool IsExpired(const entry& old, steady_time now) const;
  /// The endpoint of this id is cold at `now`.
  bool IsCold(const endpoint_id& id, steady_time now) const;

  const directory_settings settings_;
  std::unordered_map<endpoint_id, entry> entries_;
  std::map<std::uint64_t, endpoint_id> changes_;
  endpoint_set_digest digest_;
  software_history former_software_;
  std::uint64_t last_change_ = 0;
  std::uint64_t last_ending_ = 0;
  std::uint64_t last_urgent_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_ENDPOINT_DIRECTORY_H_
