#ifndef MARJORAMSILL_PROCESS_CONTROL_VM_LOCATION_H_
#define MARJORAMSILL_PROCESS_CONTROL_VM_LOCATION_H_

#include "types/ids.h"

namespace marjoramsill {

/// A VM and the failure domain that it runs in.
struct vm_location {
  vm_id vm;
  failure_domain_id domain;

  friend bool operator==(const vm_location&, const vm_location&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_VM_LOCATION_H_
