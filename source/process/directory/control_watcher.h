#ifndef MARJORAMSILL_PROCESS_DIRECTORY_CONTROL_WATCHER_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_CONTROL_WATCHER_H_

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "process/directory/content_fault.h"
#include "process/directory/endpoint_record.h"
#include "process/directory/fleet_position.h"
#include "process/directory/record_barrier.h"
#include "process/directory/relay_offer.h"
#include "process/directory/shared_load.h"
#include "process/directory/stream_origin.h"
#include "process/directory/transfer_planner.h"
#include "process/directory/watch_response.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

class peer_transport;
struct reachable_member;
struct watch_request;

/// Keeps one watch request open at every control member, so that a change
/// reaches this process as long as it can reach any member that has the change.
/// Discovers the members through the seeds. Not thread-safe; used from the
/// thread of the I/O context.
class control_watcher {
 public:
  struct hooks {
    /// Called with records that changed in a member's directory.
    std::function<void(const std::vector<endpoint_record>&)> on_records;
    /// Called before on_records with software that endpoints of the member's
    /// directory had before.
    std::function<void(const std::vector<software_presence>&)>
        on_former_software;
    /// A member has a newer document than the version that `document` returns.
    std::function<void(document_version)> on_newer_document;
    /// A leader confirmed that no version newer than this one had been
    /// acknowledged by `as_of`.
    std::function<void(document_version, steady_time as_of)> on_confirmed;
    /// Called with the evacuation set of a member. `as_of`: moment at which a
    /// leader had no newer one, if the member is the leader. Null for a control
    /// member.
    std::function<void(const evacuation_set&, std::optional<steady_time> as_of)>
        on_evacuations;
    /// Change number of the evacuation set in force; null for a control member.
    std::function<std::uint64_t()> applied_evacuations;
    /// A member became reachable or unreachable.
    std::function<void(const vm_id&, bool reachable)> on_contact;
    /// Called with load reports that other entry VMs received.
    std::function<void(const std::vector<shared_load>&)> on_loads;
    /// Returns the load reports that endpoints sent to this process since the
    /// last call.
    std::function<std::vector<shared_load>()> take_loads;
    /// Returns what this process has in progress at endpoints; null for a
    /// control member.
    std::function<std::vector<pool_progress>()> take_progress;
    /// Called with what a member reported to be in progress.
    std::function<void(const vm_id&, const fleet_progress&)> on_progress;
    /// This process has all records of a member that has received heartbeats
    /// since `started`, as they were at `as_of` or later. Null for a control
    /// member.
    std::function<void(steady_time started, steady_time as_of)> on_history;
    /// Returns the streams that began here after the origin with this number,
    /// and moves the number to the last of them. Null for a control member.
    std::function<std::vector<stream_origin>(std::uint64_t&)> take_origins;
    /// Called with what the fleet knows against prompt parts.
    std::function<void(const std::vector<content_fault>&)> on_faults;
    /// Returns what this process knows against prompt parts after the change
    /// with this number, and moves the number to the last of these changes.
    std::function<std::vector<content_fault>(std::uint64_t&)> take_faults;
    /// Returns what other entry VMs are told of this one; null for a control
    /// member.
    std::function<relay_state()> relay;
    /// Returns the number of endpoints that this process knows and that have
    /// not ended; null for a control member, which needs every record.
    std::function<std::size_t()> known_endpoints;
    /// Digests of these endpoints, see endpoint_set_digest; null for a control
    /// member.
    std::function<std::vector<std::uint64_t>()> known_digests;
    /// Returns the newest document version that this process has.
    std::function<document_version()> document;
    std::function<steady_time()> clock;
  };

  control_watcher(asio::io_context& io, peer_transport& peers, vm_id self,
                  bool is_entry, hooks callbacks);
  ~control_watcher();
  control_watcher(const control_watcher&) = delete;
  control_watcher& operator=(const control_watcher&) = delete;

  /// Replaces the VMs through which members are discovered.
  void SetSeeds(std::vector<vm_id> seeds);
  /// Sends the watch requests that are due and detects unreachable members.
  /// Call several times a second.
  void Tick(steady_time now);
  /// Sends a request of another kind to a VM. `done` runs on the I/O context
  /// with the response, or with nothing after a failure or the timeout.
  void Request(const vm_id& vm, const std::string& kind, std::string body,
               std::chrono::milliseconds timeout,
               std::function<void(std::optional<std::string>)> done);

  /// Other members that responded recently, with the document versions that
  /// they announced.
  std::vector<reachable_member> Reachable(steady_time now) const;
  /// True once any member has responded.
  bool HasHadContact() const { return has_had_contact_; }
  /// Place of this process among the entry VMs, as reported by the members. A
  /// lower number of entry VMs counts only after some time, since a member that
  /// has just started does not know all of them yet.
  const fleet_position& position() const { return position_; }
  const std::vector<vm_id>& members() const { return members_; }
  /// Confirms that the records of this process are those of the members.
  record_barrier& records() { return records_; }

 private:
  struct member_state {
    std::uint64_t epoch = 0;
    std::uint64_t applied_change = 0;
    std::uint64_t applied_ending = 0;
    document_version document;
    /// A watch request is in flight.
    bool has_request = false;
    steady_time request_sent;
    /// Last stream origin that the member has, and that of the request in
    /// flight.
    std::uint64_t confirmed_origin = 0;
    std::uint64_t sent_origin = 0;
    /// Last own change of the part faults that the member has, and that of the
    /// request in flight.
    std::uint64_t confirmed_fault = 0;
    std::uint64_t sent_fault = 0;
    /// Last change of the member's part faults that was applied here.
    std::uint64_t applied_fault = 0;
    bool is_reachable = false;
    steady_time next_try;
    steady_time last_contact;
    std::uint32_t failures = 0;
  };

  void SendWatch(const vm_id& vm, member_state& member);
  void SetTransfer(const vm_id& vm, const member_state& member,
                   watch_request& request);
  bool ExchangesLoadsWith(const vm_id& vm) const;
  void OnResponse(const vm_id& vm, const watch_response& response);
  void OnFailure(const vm_id& vm);
  /// Asks the reachable members for their last changes.
  void AskPositions();
  void UpdatePosition(const fleet_position& reported, steady_time now);
  void RemoveStale(steady_time now);

  asio::io_context& io_;
  peer_transport& peers_;
  const vm_id self_;
  const bool is_entry_;
  const hooks hooks_;
  transfer_planner planner_;
  std::vector<vm_id> seeds_;
  std::vector<vm_id> members_;
  std::map<vm_id, member_state> states_;
  record_barrier records_;
  bool has_had_contact_ = false;
  fleet_position position_;
  steady_time position_confirmed_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_CONTROL_WATCHER_H_
