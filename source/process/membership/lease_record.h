#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_LEASE_RECORD_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_LEASE_RECORD_H_

#include <chrono>
#include <cstdint>
#include <tuple>
#include <vector>

#include "process/membership/endpoint_announcement.h"
#include "types/ids.h"

namespace marjoramsill {

/// What a holder tells its peers about one endpoint. It changes only when the
/// endpoint joins, moves to another holder, leaves or falls silent.
struct lease_record {
  endpoint_announcement endpoint;
  /// Number of the holder's change that wrote this record.
  std::uint64_t change = 0;
  /// Orders holders of one endpoint incarnation: each takeover adds one.
  std::uint64_t epoch = 0;
  /// The holder no longer hears the endpoint.
  bool silent = false;

  friend bool operator==(const lease_record&, const lease_record&) = default;
};

/// One life of an entry VM, as holder of leases.
struct holder_id {
  vm_id vm;
  incarnation life;

  friend bool operator==(const holder_id&, const holder_id&) = default;
  friend bool operator<(const holder_id& a, const holder_id& b) {
    return std::tie(a.vm, a.life) < std::tie(b.vm, b.life);
  }
};

/// Requests in the engine of the lease that this change wrote.
struct lease_load {
  std::uint64_t change = 0;
  std::uint32_t requests = 0;

  friend bool operator==(const lease_load&, const lease_load&) = default;
};

/// Liveness evidence of a holder for its leases. It applies only to a copy of
/// the holder's records that has reached exactly `change`; otherwise a lease
/// that has begun to leave could be vouched for under its old state. Leases
/// are named by the change that wrote them, because the sets of leases on two
/// VMs differ while an endpoint moves to another holder.
struct lease_vouch {
  std::uint64_t change = 0;
  /// Digest of the leases held. A lease that its holder has lost to another
  /// one leaves no change behind, so that a copy of the records may hold it
  /// still.
  std::uint16_t digest = 0;
  /// Age of the oldest evidence among the leases that are vouched for.
  std::chrono::milliseconds age{0};
  /// Leases that are not vouched for, ascending.
  std::vector<std::uint64_t> overdue;
  std::vector<lease_load> loads;

  friend bool operator==(const lease_vouch&, const lease_vouch&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_LEASE_RECORD_H_
