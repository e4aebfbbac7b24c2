#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_PEER_MEMBERSHIP_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_PEER_MEMBERSHIP_H_

#include <chrono>
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
  std::chrono::milliseconds direct_interval{500};
  std::chrono::milliseconds ring_interval{900};
  std::chrono::milliseconds remote_interval{1000};
  /// A request without a response for this time has failed.
  std::chrono::milliseconds response_limit{1000};
  /// A peer without evidence for this time counts as cut off.
  std::chrono::milliseconds cut_off_after{2500};
  /// A holder silent for this time is forgotten with its leases.
  std::chrono::milliseconds forget_holder{60000};
  /// Sent bytes a second, framing included; the probes' part is the
  /// registry's.
  std::int64_t bytes_per_second = 2400;
  std::int64_t burst_bytes = 4800;
  /// HTTP/2 frames, TLS record and TCP/IP headers of one message.
  std::uint32_t framing_bytes = 100;
  /// Largest part of one message that changes and records may fill.
  std::size_t max_news_bytes = 1200;
};

/// A message to send to `to` as POST /peer/heartbeat. The response body goes
/// to OnResponse(); without one within response_limit nothing is reported.
struct peer_request {
  vm_id to;
  std::string body;
};

/// Exchanges liveness evidence and changes of leases with the other entry VMs.
/// Up to direct_limit VMs exchange with all others. Beyond it a VM exchanges
/// with ring neighbours of its own failure domain, so that each beat arrives
/// over at most two hops, and with one VM of another failure domain a second.
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
  result<void, peer_decode_error> OnResponse(const vm_id& from,
                                             std::string_view body,
                                             steady_time now);

  void SetVersion(document_version version) { version_ = version; }
  /// Newest document version that a live peer has in force.
  document_version newest_peer_version() const { return newest_version_; }
  /// A peer that has it, to fetch from.
  std::optional<vm_id> newest_version_holder() const { return newest_holder_; }

  /// True when evidence that the VM runs is younger than cut_off_after.
  bool IsReachable(const vm_id& vm, steady_time now) const;
  /// True when no peer is reachable although there are peers.
  bool IsCutOff(steady_time now) const;
  std::uint64_t bytes_sent() const { return bytes_sent_; }

 private:
  struct holder_state {
    holder_id id;
    failure_domain_id domain;
    std::uint64_t change = 0;
    document_version version;
    lease_vouch vouch;
    /// Latest date of the vouch, by this VM's clock.
    std::optional<steady_time> as_of;
    /// Latest evidence that the holder runs.
    std::optional<steady_time> alive_at;
    /// A beat named this change, which is not yet known here.
    std::uint64_t announced_change = 0;
  };
  struct peer_state {
    peer_vm vm;
    std::optional<incarnation> life;
    std::uint64_t last_stamp_ms = 0;
    steady_time stamp_at{};
    steady_time last_exchange{};
    steady_time last_request{};
    std::uint64_t news_cursor = 0;
    bool relays = false;
    std::set<holder_ref> wanted;
    std::set<failure_domain_id> wanted_positions;
    std::vector<record_request> asked_records;
    std::set<failure_domain_id> asked_positions;
  };
  struct news {
    std::uint64_t number = 0;
    steady_time learned_at;
    holder_ref holder = 0;
    endpoint_id endpoint;
    std::uint64_t change = 0;
    vm_id from;
  };

  void ArrangePartners();
  void ArrangeRing(const std::vector<vm_id>& ring, std::size_t own);
  void FollowOwnChanges(steady_time now);
  void ForgetHolders(steady_time now);
  std::optional<vm_id> RemotePartner(steady_time now);
  std::string Build(peer_state& peer, steady_time now, bool response);
  void AddBeats(const peer_state& peer, steady_time now, peer_message& message);
  std::size_t AddNews(peer_state& peer, steady_time now, std::size_t room,
                      peer_message& message);
  std::size_t AddRecords(peer_state& peer, std::size_t room,
                         peer_message& message);
  void AddDigests(peer_state& peer, steady_time now, peer_message& message);
  void AddPositions(peer_state& peer, steady_time now, peer_message& message);
  void AddWants(const peer_state& peer, steady_time now, peer_message& message);
  void Receive(peer_state& peer, const peer_message& message, steady_time now);
  std::optional<steady_time> SentNoEarlierThan(const peer_message& message,
                                               steady_time now) const;
  void ReceiveBeats(const peer_message& message, steady_time sent,
                    steady_time now);
  void ReceiveChanges(const peer_state& peer, const peer_message& message,
                      steady_time now);
  void ReceiveRecords(const peer_state& peer, const peer_message& message,
                      steady_time now);
  void ReceivePositions(const peer_state& peer, const peer_message& message,
                        steady_time now);
  holder_state* Meet(const holder_id& id, steady_time now);
  void AddToNews(const holder_state& holder, const lease_record& record,
                 const vm_id& from, steady_time now);
  std::uint64_t DigestOf(const failure_domain_id& domain,
                         steady_time now) const;
  failure_domain_id DomainOf(const vm_id& vm) const;
  std::uint64_t StampOf(steady_time now) const;

  peer_membership_settings settings_;
  endpoint_registry& registry_;
  byte_budget budget_;
  std::map<vm_id, peer_state> peers_;
  std::map<holder_ref, holder_state> holders_;
  std::vector<vm_id> partners_;
  std::vector<failure_domain_id> domains_;
  std::set<holder_ref> near_;
  std::deque<news> news_;
  std::uint64_t next_news_ = 1;
  std::uint64_t sequence_ = 0;
  std::uint64_t followed_change_ = 0;
  steady_time last_remote_{};
  std::size_t next_remote_ = 0;
  std::size_t next_digest_ = 0;
  document_version version_;
  document_version newest_version_;
  std::optional<vm_id> newest_holder_;
  std::uint64_t bytes_sent_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_PEER_MEMBERSHIP_H_
