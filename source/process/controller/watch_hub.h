#ifndef MARJORAMSILL_PROCESS_CONTROLLER_WATCH_HUB_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_WATCH_HUB_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "process/controller/link_budget.h"
#include "process/directory/content_fault_receipts.h"
#include "process/directory/content_fault_store.h"
#include "process/directory/evacuation_set.h"
#include "process/directory/fleet_position.h"
#include "process/directory/load_report_store.h"
#include "process/directory/progress_store.h"
#include "process/directory/relay_offer.h"
#include "process/directory/stream_origin_store.h"
#include "process/directory/watch_request.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

class endpoint_directory;
struct directory_position;
struct watch_response;

/// Responds to the watch requests of entry VMs and other control members, and
/// tracks the last change that each of them has applied. Endpoints that leave,
/// have ended or turn cold, a newer document and a newer evacuation set are
/// sent at once. Other records and load reports wait where the watcher lacks no
/// endpoint. All responses together are bounded by link_budget, so that they do
/// not delay the messages of the replicated group; what does not fit is part of
/// the next response. Not thread-safe.
class watch_hub {
 public:
  /// Sends an encoded watch_response.
  using response_hook = std::function<void(std::string)>;
  /// Receives true once every connected watcher has applied the change, false
  /// after the deadline.
  using applied_hook = std::function<void(bool)>;

  struct sources {
    const endpoint_directory* directory = nullptr;
    /// Newest committed document.
    std::function<document_version()> document;
    /// Members of the control group.
    std::function<std::vector<vm_id>()> members;
    /// True if `document` and `evacuations`, read before, were the newest
    /// acknowledged ones.
    std::function<bool()> is_newest = nullptr;
    /// Speed of this VM's link in Mbit/s, 0 if unknown.
    double link_mbps = 0;
    /// Compresses a response to a watcher that reads compressed ones; null if
    /// none is.
    std::function<std::string(std::string)> pack = nullptr;
    /// Committed evacuation set; null: responses name none.
    std::function<evacuation_set()> evacuations = nullptr;
  };

  /// `epoch`: random number for this start of the process, not 0.
  watch_hub(sources from, std::uint64_t epoch);

  void OnWatch(const watch_request& request, response_hook respond,
               steady_time now);
  /// Load reports forwarded by another control process.
  void MergeLoads(const std::vector<shared_load>& loads, steady_time now);
  /// What the entry VMs that report to another control process have in
  /// progress.
  void RecordProgress(const vm_id& member, const fleet_progress& sum,
                      steady_time now) {
    progress_.RecordMember(member, sum, now);
  }
  /// The last change of the directory. A held request of this watcher gets a
  /// response at once if the watcher lacks records, so that it soon has all up
  /// to that change.
  directory_position PositionFor(const vm_id& vm, steady_time now);
  /// Sends the current updates to all watchers with an open request.
  void Notify(steady_time now);
  /// Responds to requests that were held for the maximum time, removes watchers
  /// and checks deadlines.
  void Tick(steady_time now);
  /// Calls `done` once every connected watcher has applied a directory change.
  void AwaitApplied(std::uint64_t change, steady_time deadline,
                    applied_hook done, steady_time now);
  /// Streams that began at an entry VM.
  void RecordOrigins(const std::vector<stream_origin>& origins,
                     steady_time now);
  /// The software that began a stream, if an entry VM reported it.
  std::optional<software_digest> FindOrigin(stream_digest stream) const {
    return origins_.Find(stream);
  }
  /// What another process knows against prompt parts. Watchers that have to
  /// know of it get a response at once.
  void RecordFaults(const std::vector<content_fault>& faults, steady_time now);
  const content_fault_store& faults() const { return faults_; }
  /// Entry VMs with links to endpoints that take requests of this one, those of
  /// its failure domain first. Differs from call to call where there are many.
  std::vector<relay_offer> RelaysFor(const vm_id& vm, steady_time now);
  /// What was sent to watchers since the start of this process.
  struct traffic {
    std::uint64_t responses = 0;
    std::uint64_t records = 0;
    std::uint64_t loads = 0;
    /// Encoded responses, without the overhead of the transport.
    std::uint64_t bytes = 0;
  };
  const traffic& sent() const { return sent_; }
  /// Updates that waited for the link, by link_use.
  const std::array<std::uint64_t, kLinkUses>& held_back() const {
    return budget_.held_back();
  }
  /// This VM sends a document of this size to an operator, who goes to another
  /// one after a second. Load reports wait for as long as the link needs for
  /// it.
  void YieldLink(std::size_t bytes, steady_time now);
  /// Number of entry VMs with a recent request.
  std::uint32_t EntryCount(steady_time now) const;

 private:
  /// The place of a watcher among the entry VMs, in the order of their ids.
  fleet_position PositionOf(const vm_id& vm, steady_time now) const;
  struct watcher {
    bool is_entry = false;
    bool requests_loads = false;
    /// Last endpoint whose load was sent to this watcher.
    endpoint_digest last_sent_load;
    std::uint64_t applied_change = 0;
    std::uint64_t applied_ending = 0;
    std::uint32_t known_endpoints = 0;
    /// Last change of the part faults that the watcher has.
    std::uint64_t applied_fault = 0;
    content_fault_receipts receipts;
    /// The watcher has the part faults up to this change, beyond those that it
    /// has confirmed.
    std::uint64_t checked_fault = 0;
    /// It must get a response as soon as the link has room.
    bool is_response_pending = false;
    document_version document;
    /// Nothing if the watcher applies no evacuation set.
    std::optional<std::uint64_t> applied_evacuations;
    record_transfer transfer = record_transfer::kAll;
    std::vector<std::uint64_t> known_digests;
    relay_state relay;
    steady_time last_contact;
    steady_time held_since;
    steady_time last_records;
    steady_time last_endings;
    steady_time last_loads;
    steady_time last_faults;
    /// Set while a request is held.
    response_hook respond;
  };
  struct awaited_change {
    std::uint64_t change = 0;
    steady_time deadline;
    applied_hook done;
  };

  /// The watcher must get a response at once.
  bool HasUrgentUpdates(const watcher& each, steady_time now) const;
  /// The watcher lacks endpoints and may get their records now.
  bool IsDueForRecords(const watcher& each, steady_time now);
  /// The next content records that the watcher lacks, and the number of the
  /// last change among them. Remembers the changes that it skips.
  std::vector<content_fault> LackingFaults(watcher& each, std::uint64_t& number,
                                           steady_time now) const;
  /// The watcher lacks content records that it must get at once.
  bool IsDueForFaults(watcher& each, steady_time now);
  /// The watcher must get a response at once for any reason.
  bool IsUrgent(watcher& each, steady_time now) {
    return each.is_response_pending || HasUrgentUpdates(each, now) ||
           IsDueForFaults(each, now);
  }
  bool HasBulkBudget(steady_time now) {
    return budget_.Allows(link_use::kRecords, now);
  }
  static bool IsFirstTransfer(const watcher& each);
  /// The watcher is an entry VM that knows no endpoint, so that it sends
  /// nothing to one that leaves.
  static bool KnowsNoEndpoint(const watcher& each);
  /// Time until a request for load reports gets a response.
  std::chrono::milliseconds LoadHold(steady_time now);
  /// Responds, or remembers that the response to the watcher is pending if the
  /// link has no room for one.
  void Respond(const vm_id& vm, watcher& each, steady_time now);
  void AddFaults(watcher& each, watch_response& response, steady_time now);
  void AddLoads(watcher& each, watch_response& response, steady_time now);
  /// Responds to held requests, the one that has waited longest first.
  void RespondInOrder(std::vector<std::pair<vm_id, watcher*>> due,
                      steady_time now);
  /// What a watcher may get of the requests in progress.
  fleet_progress ProgressFor(const vm_id& vm, const watcher& each,
                             steady_time now) const;
  // watch_hub_records.cc: records of endpoints.
  /// Adds the records that the watcher may get now, and their change numbers.
  void AddRecords(watcher& each, watch_response& response, steady_time now);
  /// As AddRecords(), with all fields of the endpoints that have ended.
  void FindRecords(watcher& each, watch_response& response, steady_time now);
  /// As FindRecords(), for a watcher that has applied no change yet.
  void AddFirstRecords(const watcher& each, watch_response& response,
                       steady_time now);
  /// How long this process has known endpoints.
  std::chrono::milliseconds History(steady_time now) const;
  std::string Encode(const watcher& each, const watch_response& response) const;
  /// Responds to the held requests of watchers that lack endpoints, beginning
  /// with the one that has waited longest for records.
  void RespondWithRecords(steady_time now);
  bool IsAppliedByAll(std::uint64_t change, steady_time now) const;
  void CheckAwaited(steady_time now);

  const sources from_;
  const std::uint64_t epoch_;
  std::map<vm_id, watcher> watchers_;
  std::vector<awaited_change> awaited_;
  /// First contact with any watcher.
  std::optional<steady_time> started_at_;
  load_report_store loads_;
  progress_store progress_;
  stream_origin_store origins_;
  content_fault_store faults_;
  link_budget budget_;
  /// Load reports are sent again from then on.
  steady_time loads_paused_until_;
  traffic sent_;
  /// Whether the last Tick() could confirm the document.
  bool was_newest_ = false;
  /// Where the next list of relays begins.
  std::size_t next_relay_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_WATCH_HUB_H_
