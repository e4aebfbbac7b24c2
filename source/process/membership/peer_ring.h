#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_PEER_RING_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_PEER_RING_H_

#include <cstddef>
#include <vector>

namespace marjoramsill {

/// Exchange partners of one position in a ring of `size` VMs. Near partners
/// are the neighbours; far partners stand whole neighbourhoods apart, and tell
/// each other the beats of their neighbourhoods. Each beat thus reaches every
/// position over at most two hops, with about 2 * sqrt(size) partners.
struct peer_ring {
  std::vector<std::size_t> near;
  std::vector<std::size_t> far;
};

/// Up to `direct_limit` positions all others are near partners.
peer_ring ArrangeRing(std::size_t size, std::size_t own,
                      std::size_t direct_limit);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_PEER_RING_H_
