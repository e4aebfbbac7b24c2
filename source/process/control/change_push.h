#ifndef MARJORAMSILL_PROCESS_CONTROL_CHANGE_PUSH_H_
#define MARJORAMSILL_PROCESS_CONTROL_CHANGE_PUSH_H_

#include "types/ids.h"
#include "version/section_record.h"

namespace marjoramsill {

/// `policy/changes` message: one accepted change, forwarded along the relay
/// tree of `root`. The version of the record is the document version after the
/// change.
struct change_push {
  vm_id root;
  section_ptr record;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_CHANGE_PUSH_H_
