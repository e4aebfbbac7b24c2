#ifndef MARJORAMSILL_PROCESS_ADMISSION_OFFER_STATE_H_
#define MARJORAMSILL_PROCESS_ADMISSION_OFFER_STATE_H_

namespace marjoramsill {

/// State of an accepted offer.
enum class offer_state { kAdmitted, kQueued };

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_OFFER_STATE_H_
