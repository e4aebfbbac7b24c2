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

/// An entry VM, as the settings name it.
struct peer_vm {
  vm_id id;
  failure_domain_id domain;

  friend bool operator==(const peer_vm&, const peer_vm&) = default;
};

struct peer_membership_settings {
  peer_vm self;
  incarnation life;
  /// All entry VMs; the own one may be among them.
  std::vector<peer_vm> vms;
  /// Up to this number of VMs each one exchanges with every other.
  std::size_t direct_limit = 12;
  std::chrono::milliseconds direct_interval{700};
  std::chrono::milliseconds ring_interval{1000};
  std::chrono::milliseconds remote_interval{2000};
  /// A peer that has not answered is asked again at this interval.
  std::chrono::milliseconds retry_interval{1000};
  /// A peer without evidence for this time counts as cut off.
  std::chrono::milliseconds cut_off_after{2500};
  /// A VM silent for this time leaves the ring of its failure domain.
  std::chrono::milliseconds leave_ring_after{10000};
  /// A holder silent for this time is forgotten with its leases. Shorter than
  /// the registry's forget_silent, so that no VM that still knows an endpoint
  /// misses the record of its end.
  std::chrono::milliseconds forget_holder{300000};
  /// A difference of digests lasts this long before positions are asked for:
  /// changes on their way cause shorter ones.
  std::chrono::milliseconds digest_patience{3000};
  /// The patience doubles up to this while the digests go on to differ.
  std::chrono::milliseconds longest_patience{24000};
  std::chrono::milliseconds positions_interval{2000};
  /// A copy that differs from its holder's digest for this time is fetched
  /// anew.
  std::chrono::milliseconds longest_difference{5000};
  /// A copy that lags behind a holder for this time is fetched anew.
  std::chrono::milliseconds longest_lag{60000};
  /// Sent bytes a second, framing and the registry's probes included. With
  /// the burst this stays below 3,000 bytes in any second.
  std::int64_t bytes_per_second = 2200;
  std::int64_t burst_bytes = 300;
  /// Part of the above that changes and records may use, so that heartbeats
  /// can't crowd them out.
  std::int64_t news_bytes_per_second = 600;
  std::int64_t news_burst_bytes = 900;
  /// HTTP/2 frames, TLS record and TCP/IP headers of one message.
  std::uint32_t framing_bytes = 100;
};

/// A message to send to `to` as POST /peer/heartbeat. The response body goes
/// to OnResponse(). A failed request is not reported: it is repeated.
struct peer_request {
  vm_id to;
  std::string body;
};

/// Exchanges liveness evidence and changes of leases with the other entry VMs.
/// Up to direct_limit VMs exchange with all others. Beyond it a VM exchanges
/// with ring neighbours of its own failure domain, so that each beat arrives
/// over at most two hops, and with VMs of other failure domains in turn.
/// Guarded by the membership lock, like the registry that it feeds.
class peer_membership {
 public:
  peer_membership(peer_membership_settings settings,
                  endpoint_registry& registry);

  /// Requests that are due; call every 100 ms.
  std::vector<peer_request> Tick(steady_time now);
  /// Returns the body of the response.
  result<std::string, peer_decode_error> OnRequest(std::string_view body,
                                                   steady_time now);
  result<void, peer_decode_error> OnResponse(std::string_view body,
                                             steady_time now);

  void SetVersion(document_version version) { version_ = version; }
  /// Newest document version that a peer has in force.
  document_version newest_peer_version() const { return newest_version_; }
  /// A peer that has it, to fetch from.
  const std::optional<vm_id>& newest_version_holder() const {
    return newest_holder_;
  }

  /// True when evidence that the VM runs is younger than cut_off_after. Beyond
  /// direct_limit VMs this holds for VMs of the own failure domain only.
  bool IsReachable(const vm_id& vm, steady_time now) const;
  /// True when no peer is reachable although there are peers.
  bool IsCutOff(steady_time now) const;
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::uint64_t messages_sent() const { return messages_sent_; }

 private:
  struct holder_state {
    holder_id id;
    failure_domain_id domain;
    /// All changes up to this one have been applied.
    std::uint64_t change = 0;
    /// Highest change that any peer has named.
    std::uint64_t announced = 0;
    /// Since when `change` is lower than `announced`.
    std::optional<steady_time> lagging_since;
    document_version version;
    lease_vouch vouch;
    /// Date of the vouch, by this VM's clock.
    std::optional<steady_time> as_of;
    std::optional<steady_time> asked_at;
    /// Since when the copy differs from the vouch although no change lacks.
    std::optional<steady_time> differs_since;
    /// The peer that named the announced change.
    vm_id named_by;
    /// Latest evidence that the holder runs.
    steady_time alive_at{};
    /// Ids seen so far of a list of all records.
    std::optional<std::set<endpoint_id>> listed;
  };
  struct peer_state {
    peer_vm vm;
    std::optional<incarnation> life;
    std::uint64_t stamp_ms = 0;
    steady_time stamp_at{};
    std::optional<steady_time> last_exchange;
    std::optional<steady_time> last_request;
    std::uint64_t news_cursor = 0;
    /// A far ring partner: gets the beats of this VM's neighbourhood.
    bool is_far = false;
    std::set<holder_ref> lacking;
    std::set<failure_domain_id> unclear;
    std::vector<record_request> asked_records;
    std::set<failure_domain_id> asked_positions;
    /// The holders up to this one have been answered.
    holder_ref told_position = 0;
  };
  struct news_item {
    std::uint64_t number = 0;
    steady_time learned_at;
    vm_id learned_from;
    bool own_domain = false;
    /// Further peers to tell unasked. Those that miss a change ask for it
    /// when a beat or a digest names it, which costs one copy each.
    std::uint32_t pushes = 0;
    /// The same for VMs of other failure domains.
    std::uint32_t remote_pushes = 0;
    holder_change change;
  };
  struct mismatch {
    std::optional<steady_time> since;
    std::chrono::milliseconds patience{0};
    std::optional<steady_time> asked_at;
  };

  // peer_membership.cc: schedule and state.
  void ArrangePartners(steady_time now);
  std::optional<vm_id> RemotePartner(steady_time now);
  std::optional<vm_id> AbsentPartner(steady_time now);
  std::vector<vm_id> DuePeers(steady_time now);
  bool IsDue(const peer_state& peer, steady_time now) const;
  void SpreadStart(steady_time now);
  void ChargeProbes(steady_time now);
  void FollowOwnChanges(steady_time now);
  void ForgetHolders(steady_time now);
  void ChaseLaggards(steady_time now);
  bool IsDirect() const { return vms_.size() <= settings_.direct_limit; }
  bool IsKnownDomain(const failure_domain_id& domain) const;
  bool IsPresent(const vm_id& vm, steady_time now) const;
  holder_state* Meet(const holder_id& id, steady_time alive_at);
  holder_state* FindHolder(holder_ref ref);
  const holder_state* LatestLife(const vm_id& vm) const;
  void AddNews(const holder_change& change, const holder_state& holder,
               const vm_id& from, steady_time now);
  std::uint64_t DigestOf(const failure_domain_id& domain) const;
  std::uint64_t StampOf(steady_time now) const;
  result<peer_message, peer_decode_error> Decode(std::string_view body);

  // peer_membership_send.cc: what a message says.
  std::string Build(peer_state& peer, steady_time now);
  void TellBeats(const peer_state& peer, steady_time now,
                 peer_message& message);
  std::size_t TellNews(peer_state& peer, std::size_t room,
                       peer_message& message);
  std::size_t TellRecords(peer_state& peer, std::size_t room,
                          peer_message& message);
  record_list ListRecords(const holder_state& holder, std::uint64_t after,
                          std::size_t room) const;
  void TellDigests(const peer_state& peer, peer_message& message);
  std::size_t TellPositions(peer_state& peer, steady_time now, std::size_t room,
                            peer_message& message);
  void TellWants(peer_state& peer, steady_time now, peer_message& message);

  // peer_membership_receive.cc: what a message teaches.
  void Receive(peer_state& peer, const peer_message& message, steady_time now);
  std::optional<steady_time> SentNoEarlierThan(const peer_message& message,
                                               steady_time now) const;
  void HearBeats(peer_state& peer, const peer_message& message,
                 std::optional<steady_time> sent, steady_time now);
  void HearBeat(peer_state& peer, holder_state& holder, const peer_beat& beat,
                std::optional<steady_time> sent, steady_time now);
  void HearChanges(peer_state& peer, const peer_message& message,
                   steady_time now);
  void HearRecords(peer_state& peer, const peer_message& message,
                   steady_time now);
  void HearDigests(peer_state& peer, const peer_message& message,
                   std::optional<steady_time> sent, steady_time now);
  void HearPositions(peer_state& peer, const peer_message& message,
                     steady_time now);
  void HearAnnounced(peer_state& peer, holder_state& holder,
                     std::uint64_t change, steady_time now);
  void Trust(holder_state& holder, steady_time now);
  void Advance(holder_state& holder, std::uint64_t change, steady_time now);

  peer_membership_settings settings_;
  endpoint_registry& registry_;
  byte_budget budget_;
  byte_budget news_budget_;
  std::uint64_t charged_probe_bytes_ = 0;
  holder_id self_;
  std::map<vm_id, failure_domain_id> vms_;
  std::map<vm_id, peer_state> peers_;
  std::map<holder_ref, holder_state> holders_;
  std::map<vm_id, incarnation> lives_;
  std::vector<failure_domain_id> domains_;
  std::vector<vm_id> partners_;
  std::vector<vm_id> remotes_;
  std::set<vm_id> neighbourhood_;
  /// Peers to be asked something; the next exchange with them is due at once.
  std::set<vm_id> urgent_;
  std::optional<steady_time> started_at_;
  std::optional<steady_time> arranged_at_;
  std::map<failure_domain_id, mismatch> mismatches_;
  std::deque<news_item> news_;
  std::uint64_t next_news_ = 1;
  std::uint64_t sequence_ = 0;
  std::optional<steady_time> last_remote_;
  std::optional<steady_time> last_absent_;
  std::size_t next_remote_ = 0;
  std::size_t next_absent_ = 0;
  std::size_t next_digest_ = 0;
  document_version version_;
  document_version newest_version_;
  std::optional<vm_id> newest_holder_;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t messages_sent_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_PEER_MEMBERSHIP_H_
