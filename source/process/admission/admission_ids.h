#ifndef MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_IDS_H_
#define MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_IDS_H_

#include "types/strong_number.h"

namespace marjoramsill {

/// Identifies a request within this process. Chosen by the caller and returned
/// in actions.
using request_handle = strong_number<struct request_handle_tag>;
/// Dense index of a workspace within this process, from 0.
using workspace_handle = strong_number<struct workspace_handle_tag>;
/// Identifies an accepted offer until its final outcome. Contains a generation
/// number, so that a stale ticket is detected.
using admission_ticket = strong_number<struct admission_ticket_tag>;

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_IDS_H_
