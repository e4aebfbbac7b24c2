#ifndef MARJORAMSILL_PROCESS_BURN_SIZE_CLASS_H_
#define MARJORAMSILL_PROCESS_BURN_SIZE_CLASS_H_

namespace marjoramsill {

enum class size_class { kSmall, kLarge };

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_BURN_SIZE_CLASS_H_
