#ifndef MARJORAMSILL_PROCESS_CONTROL_RELAY_TREE_H_
#define MARJORAMSILL_PROCESS_CONTROL_RELAY_TREE_H_

#include <cstddef>
#include <vector>

#include "process/control/vm_location.h"
#include "types/ids.h"

namespace marjoramsill {

/// The tree along which a change is forwarded from `root`. All VMs compute the
/// same tree from the same VM list. Each failure domain has one head. The heads
/// form a tree of degree 2 below the root; the VMs of a failure domain form a
/// tree below their head, which has 2 children in it, and the other VMs have 4.
/// So no VM has more than 4 children, a change enters each failure domain once,
/// and 10 failure domains of 33 VMs are at most 6 hops deep.
class relay_tree {
 public:
  relay_tree(std::vector<vm_location> vms, const vm_id& root);

  /// The VMs that `vm` forwards to. Empty when `vm` is not in the list.
  std::vector<vm_id> Children(const vm_id& vm) const;

 private:
  void AddHeadChildren(std::size_t domain, std::vector<vm_id>& out) const;

  /// VMs by failure domain, that of the root first. The first VM is the head.
  std::vector<std::vector<vm_id>> domains_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_RELAY_TREE_H_
