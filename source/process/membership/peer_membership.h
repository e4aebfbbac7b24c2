#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_PEER_MEMBERSHIP_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_PEER_MEMBERSHIP_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "process/membership/byte_budget.h"
#include "process/membership/endpoint_registry.h"
#include "process/membership/peer_codec.h"
#include "process/membership/peer_message.h"
#include "types/ids.h"
#include "types/result.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// An entry VM as configured in the settings.
struct peer_vm {
  vm_id id;
  failure_domain_id domain;

  friend bool operator==(const peer_vm&, const peer_vm&) = default;
};

struct peer_membership_settings {
  peer_vm self;
  incarnation_number incarnation;
  /// All entry VMs; may include this one.
  std::vector<peer_vm> vms;
  /// Up to this number of VMs each one exchanges messages with every other one
  /// (full mesh); larger fleets use rings.
  std::size_t full_mesh_limit = 12;
  std::chrono::milliseconds full_mesh_interval{700};
  std::chrono::milliseconds ring_interval{1000};
  std::chrono::milliseconds remote_interval{2000};
  /// Time after which a request without a response is repeated.
  std::chrono::milliseconds retry_interval{1000};
  /// A peer without evidence for this time counts as unreachable.
  std::chrono::milliseconds unreachable_after{2500};
  /// A VM without evidence for this time is removed from the ring of its
  /// failure domain.
  std::chrono::milliseconds leave_ring_after{10000};
  /// A holder without evidence for this time is removed with its leases.
  /// Shorter than the registry's remove_silent_after, so that the record of an
  /// endpoint's end is kept as long as any VM still has the endpoint.
  std::chrono::milliseconds remove_holder_after{300000};
  /// Positions are requested only if digests differ for this long, because
  /// changes in transit cause shorter differences.
  std::chrono::milliseconds mismatch_delay{3000};
  /// The delay doubles up to this value while the digests still differ.
  std::chrono::milliseconds max_mismatch_delay{24000};
  /// Shortest time between two requests for positions of a failure domain.
  std::chrono::milliseconds positions_interval{2000};
  /// A copy of a holder's records is fetched again completely if it differs
  /// from the holder's digest for this time.
  std::chrono::milliseconds resync_after_mismatch{5000};
  /// A copy of a holder's records is fetched again completely if it lags behind
  /// the holder for this time.
  std::chrono::milliseconds resync_after_lag{60000};
  /// Limit of sent bytes per second, including framing and the registry's
  /// probes. Together with the burst this stays below 3,000 bytes in any
  /// second.
  std::int64_t bytes_per_second = 2200;
  std::int64_t burst_bytes = 300;
  /// Limit for the part of these bytes that changes, records and positions use,
  /// so that they don't crowd out the heartbeats.
  std::int64_t update_bytes_per_second = 600;
  std::int64_t update_burst_bytes = 900;
  /// Bytes of HTTP/2 frames, TLS record and TCP/IP headers of one message.
  std::uint32_t framing_bytes = 100;
};

/// A message to be sent to `to` as POST /peer/heartbeat. The caller passes the
/// response body to OnResponse(). It doesn't report a failed request, which is
/// repeated by Tick().
struct peer_request {
  vm_id to;
  std::string body;
};

/// Gossip protocol between the entry VMs: exchanges liveness evidence and lease
/// changes and applies them to the registry. Up to full_mesh_limit VMs, each
/// one exchanges messages with all others. In larger fleets, a VM exchanges
/// messages with ring partners of its own failure domain, so that each
/// heartbeat arrives over at most two hops, and with VMs of other failure
/// domains in turn. Not thread-safe; guarded by the membership lock, like the
/// registry.
class peer_membership {
 public:
  peer_membership(peer_membership_settings settings,
                  endpoint_registry& registry);

  /// Returns the requests that are due; to be called every 100 ms.
  std::vector<peer_request> Tick(steady_time now);
  /// Applies a request of a peer and returns the body of the response.
  result<std::string, peer_decode_error> OnRequest(std::string_view body,
                                                   steady_time now);
  /// Applies the response to a request from Tick().
  result<void, peer_decode_error> OnResponse(std::string_view body,
                                             steady_time now);

  /// Sets this VM's document version in force, which its heartbeats contain.
  void SetVersion(document_version version) { version_ = version; }
  /// Newest document version in force on any peer.
  document_version newest_peer_version() const { return newest_version_; }
  /// A peer from which that version can be fetched.
  const std::optional<vm_id>& newest_version_holder() const {
    return newest_version_holder_;
  }

  /// Returns true if there is evidence within unreachable_after that the VM
  /// runs. In fleets larger than full_mesh_limit this is reliable only for VMs
  /// of this VM's failure domain.
  bool IsReachable(const vm_id& vm, steady_time now) const;
  /// Returns true if there are peers, but none is reachable.
  bool IsIsolated(steady_time now) const;
  /// Bytes of all sent messages, including framing.
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::uint64_t messages_sent() const { return messages_sent_; }

 private:
  struct holder_state {
    holder_id id;
    failure_domain_id domain;
    /// Sequence number up to which all changes have been applied.
    std::uint64_t applied = 0;
    /// Highest sequence number that any peer has announced.
    std::uint64_t announced = 0;
    /// Since when `applied` is lower than `announced`.
    std::optional<steady_time> lagging_since;
    document_version version;
    lease_summary summary;
    /// Time of the summary's evidence, by this VM's clock.
    std::optional<steady_time> as_of;
    /// Time of the latest request for records.
    std::optional<steady_time> requested_at;
    /// Since when the copy differs from the summary's digest although no change
    /// is missing.
    std::optional<steady_time> differs_since;
    /// The peer that announced that sequence number.
    vm_id announced_by;
    /// Latest evidence that the holder runs.
    steady_time alive_at{};
    /// Ids received so far while a complete list of records is transferred.
    std::optional<std::set<endpoint_id>> listed_ids;
  };
  struct peer_state {
    peer_vm vm;
    std::optional<incarnation_number> incarnation;
    std::uint64_t timestamp_ms = 0;
    steady_time timestamp_received_at{};
    std::optional<steady_time> last_exchange;
    std::optional<steady_time> last_request;
    /// Number of the last pending update considered for this peer.
    std::uint64_t update_cursor = 0;
    /// Far ring partner, which also gets the heartbeats of this VM's
    /// neighbours.
    bool is_far_partner = false;
    /// What to request from the peer: records of these holders, and positions
    /// of these failure domains.
    std::set<holder_ref> records_to_request;
    std::set<failure_domain_id> positions_to_request;
    /// What the peer has requested.
    std::vector<record_request> requested_records;
    std::set<failure_domain_id> requested_positions;
    /// The positions of the holders up to this one have been sent.
    holder_ref position_cursor = 0;
  };
  /// A lease change that is still to be sent to other peers.
  struct pending_update {
    std::uint64_t number = 0;
    steady_time added_at;
    vm_id received_from;
    bool is_own_domain = false;
    /// Number of peers that the change is still sent to without a request.
    /// Other peers request it when a heartbeat or digest shows that it is
    /// missing, which costs one copy each.
    std::uint32_t sends_left = 0;
    /// The same for VMs of other failure domains.
    std::uint32_t remote_sends_left = 0;
    holder_change change;
  };
  /// Tracks how long the digest of a failure domain differs from that of peers.
  struct digest_mismatch {
    std::optional<steady_time> since;
    std::chrono::milliseconds delay{0};
    std::optional<steady_time> requested_at;
  };

  // peer_membership.cc: schedule of exchanges and state of holders.
  void SelectPartners(steady_time now);
  std::optional<vm_id> RemotePartner(steady_time now);
  std::optional<vm_id> AbsentPartner(steady_time now);
  std::vector<vm_id> DuePeers(steady_time now);
  bool IsDue(const peer_state& peer, steady_time now) const;
  void StaggerFirstExchanges(steady_time now);
  void ChargeProbes(steady_time now);
  void PublishOwnChanges(steady_time now);
  void RemoveSilentHolders(steady_time now);
  void RequestMissingRecords(steady_time now);
  bool IsFullMesh() const { return vms_.size() <= settings_.full_mesh_limit; }
  bool IsKnownDomain(const failure_domain_id& domain) const;
  bool IsInRing(const vm_id& vm, steady_time now) const;
  holder_state* FindOrAddHolder(const holder_id& id, steady_time alive_at);
  holder_state* FindHolder(holder_ref ref);
  const holder_state* LatestHolder(const vm_id& vm) const;
  void AddUpdate(const holder_change& change, const holder_state& holder,
                 const vm_id& from, steady_time now);
  std::uint64_t DigestOf(const failure_domain_id& domain) const;
  std::uint64_t ToTimestamp(steady_time now) const;
  result<peer_message, peer_decode_error> Decode(std::string_view body);

  // peer_membership_send.cc: building messages.
  std::string BuildMessage(peer_state& peer, steady_time now);
  void AppendHeartbeats(const peer_state& peer, steady_time now,
                        peer_message& message);
  std::size_t AppendUpdates(peer_state& peer, std::size_t remaining_bytes,
                            peer_message& message);
  std::size_t AppendRecords(peer_state& peer, std::size_t remaining_bytes,
                            peer_message& message);
  record_list ListRecords(const holder_state& holder, std::uint64_t after,
                          std::size_t remaining_bytes) const;
  void AppendDigests(const peer_state& peer, peer_message& message);
  std::size_t AppendPositions(peer_state& peer, steady_time now,
                              std::size_t remaining_bytes,
                              peer_message& message);
  void AppendRequests(peer_state& peer, steady_time now, peer_message& message);

  // peer_membership_receive.cc: applying received messages.
  void Receive(peer_state& peer, const peer_message& message, steady_time now);
  std::optional<steady_time> EarliestSendTime(const peer_message& message,
                                              steady_time now) const;
  void ApplyHeartbeats(peer_state& peer, const peer_message& message,
                       std::optional<steady_time> sent, steady_time now);
  void ApplyHeartbeat(peer_state& peer, holder_state& holder,
                      const holder_heartbeat& heartbeat,
                      std::optional<steady_time> sent, steady_time now);
  void ApplyChanges(peer_state& peer, const peer_message& message,
                    steady_time now);
  void ApplyRecords(peer_state& peer, const peer_message& message,
                    steady_time now);
  void CompareDigests(peer_state& peer, const peer_message& message,
                      std::optional<steady_time> sent, steady_time now);
  void ApplyPositions(peer_state& peer, const peer_message& message,
                      steady_time now);
  void RecordAnnouncedChange(peer_state& peer, holder_state& holder,
                             std::uint64_t sequence, steady_time now);
  void ApplyLatestSummary(holder_state& holder, steady_time now);
  void Advance(holder_state& holder, std::uint64_t sequence, steady_time now);

  peer_membership_settings settings_;
  endpoint_registry& registry_;
  byte_budget budget_;
  byte_budget update_budget_;
  std::uint64_t charged_probe_bytes_ = 0;
  holder_id self_;
  std::map<vm_id, failure_domain_id> vms_;
  std::map<vm_id, peer_state> peers_;
  std::map<holder_ref, holder_state> holders_;
  std::map<vm_id, incarnation_number> incarnations_;
  std::vector<failure_domain_id> domains_;
  std::vector<vm_id> partners_;
  std::vector<vm_id> remote_vms_;
  std::set<vm_id> neighbours_;
  /// Peers to send a request to; the next exchange with them is due at once.
  std::set<vm_id> urgent_peers_;
  std::optional<steady_time> started_at_;
  std::optional<steady_time> partners_selected_at_;
  std::map<failure_domain_id, digest_mismatch> mismatches_;
  std::deque<pending_update> updates_;
  std::uint64_t next_update_number_ = 1;
  std::uint64_t sequence_ = 0;
  std::optional<steady_time> last_remote_exchange_;
  std::optional<steady_time> last_absent_exchange_;
  std::size_t next_remote_ = 0;
  std::size_t next_absent_ = 0;
  std::size_t next_digest_ = 0;
  document_version version_;
  document_version newest_version_;
  std::optional<vm_id> newest_version_holder_;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t messages_sent_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_PEER_MEMBERSHIP_H_
