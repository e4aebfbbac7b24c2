#ifndef MARJORAMSILL_PROCESS_CONTROL_RELAY_TREE_H_
#define MARJORAMSILL_PROCESS_CONTROL_RELAY_TREE_H_

#include <cstddef>
#include <vector>

#include "process/control/vm_location.h"
#include "types/ids.h"

namespace marjoramsill {

/// The tree along which a change travels from its root. Every VM computes the
/// same tree from the same VM list. Each failure domain has one head; the
/// heads form a tree of degree 2 below the root, and the VMs of a failure
/// domain a tree below their head (2 children of the head, 4 of the others),
/// so that no VM has more than 4 children, a change enters each failure domain
/// once, and 10 failure domains of 33 VMs are at most 6 hops deep.
class relay_tree {
 public:
  relay_tree(std::vector<vm_location> vms, const vm_id& root);

  /// Empty when the VM is not in the list.
  std::vector<vm_id> Children(const vm_id& vm) const;

 private:
  void AddHeadChildren(std::size_t domain, std::vector<vm_id>& out) const;

  /// By failure domain, the root's first; the head is the first VM.
  std::vector<std::vector<vm_id>> domains_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_RELAY_TREE_H_
