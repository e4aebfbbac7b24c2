#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_PEER_RING_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_PEER_RING_H_

#include <cstddef>
#include <vector>

namespace marjoramsill {

/// Exchange partners of one position in a ring of VMs. Near partners are the
/// neighbours on both sides. Far partners are one or more whole neighbourhoods
/// away and relay the heartbeats of their neighbourhoods to each other. Each
/// heartbeat thus reaches every position over at most two hops, with about
/// 2 * sqrt(size) partners per position.
struct peer_ring {
  std::vector<std::size_t> near;
  std::vector<std::size_t> far;
};

/// Selects the partners of position `own` in a ring of `size` positions. If
/// `size` is at most `full_mesh_limit`, all other positions are near partners.
peer_ring BuildPeerRing(std::size_t size, std::size_t own,
                        std::size_t full_mesh_limit);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_PEER_RING_H_
