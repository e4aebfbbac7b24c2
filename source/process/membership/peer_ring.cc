#include "process/membership/peer_ring.h"

#include <algorithm>
#include <set>

namespace marjoramsill {
namespace {

struct ring_shape {
  std::size_t reach = 0;    // neighbours on each side
  std::size_t strides = 0;  // far partners on each side
};

// Selects the shape with the fewest partners whose neighbourhoods cover the
// whole ring.
ring_shape ShapeFor(std::size_t size) {
  ring_shape best{size, 0};
  for (std::size_t reach = 1; reach < size; ++reach) {
    const std::size_t width = 2 * reach + 1;
    std::size_t strides = 0;
    while (width * (2 * strides + 1) < size) ++strides;
    if (reach + strides < best.reach + best.strides) best = {reach, strides};
  }
  return best;
}

}  // namespace

peer_ring BuildPeerRing(std::size_t size, std::size_t own,
                        std::size_t full_mesh_limit) {
  peer_ring ring;
  if (size <= full_mesh_limit) {
    for (std::size_t i = 0; i < size; ++i) {
      if (i != own) ring.near.push_back(i);
    }
    return ring;
  }
  const ring_shape shape = ShapeFor(size);
  std::set<std::size_t> taken = {own};
  for (std::size_t i = 1; i <= shape.reach; ++i) {
    for (std::size_t at : {(own + i) % size, (own + size - i) % size}) {
      if (taken.insert(at).second) ring.near.push_back(at);
    }
  }
  for (std::size_t i = 1; i <= shape.strides; ++i) {
    const std::size_t far = i * (2 * shape.reach + 1) % size;
    for (std::size_t at : {(own + far) % size, (own + size - far) % size}) {
      if (taken.insert(at).second) ring.far.push_back(at);
    }
  }
  return ring;
}

}  // namespace marjoramsill
