#ifndef MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_ACTION_KIND_H_
#define MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_ACTION_KIND_H_

namespace marjoramsill {

enum class admission_action_kind { kAdmit, kReject };

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_ACTION_KIND_H_
