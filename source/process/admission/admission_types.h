#ifndef MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_TYPES_H_
#define MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_TYPES_H_

#include "process/admission/accepted_offer.h"
#include "process/admission/admission_action.h"
#include "process/admission/admission_action_kind.h"
#include "process/admission/admission_capacity.h"
#include "process/admission/admission_ids.h"
#include "process/admission/admission_offer.h"
#include "process/admission/admission_policy.h"
#include "process/admission/admission_rejection.h"
#include "process/admission/offer_state.h"
#include "process/admission/rank_admission.h"
#include "process/admission/rejection_kind.h"

#endif  // MARJORAMSILL_PROCESS_ADMISSION_ADMISSION_TYPES_H_
