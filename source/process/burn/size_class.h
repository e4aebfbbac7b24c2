#ifndef MARJORAMSILL_PROCESS_BURN_SIZE_CLASS_H_
#define MARJORAMSILL_PROCESS_BURN_SIZE_CLASS_H_

namespace marjoramsill {

/// Size of the workspace that sent a request.
enum class size_class { kSmall, kLarge };

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_BURN_SIZE_CLASS_H_
