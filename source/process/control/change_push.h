#ifndef MARJORAMSILL_PROCESS_CONTROL_CHANGE_PUSH_H_
#define MARJORAMSILL_PROCESS_CONTROL_CHANGE_PUSH_H_

#include "types/ids.h"
#include "version/section_record.h"

namespace marjoramsill {

/// `policy/changes`: one accepted change on its way down the relay tree of
/// `root`. Its version is the document version that it makes.
struct change_push {
  vm_id root;
  section_ptr record;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_CHANGE_PUSH_H_
