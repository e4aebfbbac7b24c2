#ifndef MARJORAMSILL_PROCESS_ADMISSION_LIMIT_TYPES_H_
#define MARJORAMSILL_PROCESS_ADMISSION_LIMIT_TYPES_H_

#include "process/admission/limit_action.h"
#include "process/admission/limit_actions.h"
#include "process/admission/limit_decision.h"
#include "process/admission/limit_message.h"
#include "process/admission/limit_message_kind.h"
#include "process/admission/limit_settings.h"
#include "process/admission/outgoing_limit_message.h"
#include "process/admission/workspace_limit.h"

#endif  // MARJORAMSILL_PROCESS_ADMISSION_LIMIT_TYPES_H_
