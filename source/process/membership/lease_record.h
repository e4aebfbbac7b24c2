#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_LEASE_RECORD_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_LEASE_RECORD_H_

#include <chrono>
#include <cstdint>
#include <tuple>
#include <vector>

#include "process/membership/endpoint_announcement.h"
#include "types/ids.h"

namespace marjoramsill {

/// Replicated record of one endpoint's lease. An endpoint lease keeps the
/// endpoint registered and expires when announcements cease. Its holder, the VM
/// that receives the announcements, sends the record to the peers.
/// It changes only when the endpoint joins, restarts, changes its announced
/// properties, moves to another holder, leaves or becomes silent.
struct lease_record {
  endpoint_announcement endpoint;
  /// Sequence number of the holder's change that last wrote this record.
  std::uint64_t sequence = 0;
  /// Orders the holders of one endpoint incarnation: incremented
  /// whenever another VM takes over the lease.
  std::uint64_t epoch = 0;
  /// The lease has expired: the holder no longer receives announcements.
  bool silent = false;

  friend bool operator==(const lease_record&, const lease_record&) = default;
};

/// One incarnation of an entry VM, as a holder of leases.
struct holder_id {
  vm_id vm;
  incarnation_number incarnation;

  friend bool operator==(const holder_id&, const holder_id&) = default;
  friend bool operator<(const holder_id& a, const holder_id& b) {
    return std::tie(a.vm, a.incarnation) < std::tie(b.vm, b.incarnation);
  }
};

/// Load of one endpoint in a lease_summary.
struct lease_load {
  /// Sequence number of the endpoint's lease record.
  std::uint64_t sequence = 0;
  /// Requests in the engine, running and waiting.
  std::uint32_t requests = 0;

  friend bool operator==(const lease_load&, const lease_load&) = default;
};

/// Liveness evidence of a holder for all of its leases. It applies only to a
/// copy of the holder's records that is at exactly `sequence`; otherwise a
/// leaving endpoint could be confirmed in its old state. Leases are identified
/// by the sequence numbers of their records, because the sets of leases on two
/// VMs differ while an endpoint moves to another holder.
struct lease_summary {
  /// Sequence number of the holder's latest change.
  std::uint64_t sequence = 0;
  /// Digest of the leases held. When another VM takes over a lease, its former
  /// holder records no change, so a copy of the records may still contain the
  /// lease.
  std::uint16_t digest = 0;
  /// Age of the oldest evidence among the leases that are not overdue.
  std::chrono::milliseconds age{0};
  /// Sequence numbers of the leases without recent evidence, ascending.
  std::vector<std::uint64_t> overdue;
  std::vector<lease_load> loads;

  friend bool operator==(const lease_summary&, const lease_summary&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_LEASE_RECORD_H_
