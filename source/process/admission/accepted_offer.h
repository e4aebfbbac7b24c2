#ifndef MARJORAMSILL_PROCESS_ADMISSION_ACCEPTED_OFFER_H_
#define MARJORAMSILL_PROCESS_ADMISSION_ACCEPTED_OFFER_H_

#include "process/admission/admission_ids.h"
#include "process/admission/admission_rejection.h"
#include "process/admission/offer_state.h"
#include "types/result.h"

namespace marjoramsill {

/// An offer that was admitted or queued.
struct accepted_offer {
  offer_state state = offer_state::kQueued;
  admission_ticket ticket;
};

using offer_result = result<accepted_offer, admission_rejection>;

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_ACCEPTED_OFFER_H_
