#ifndef MARJORAMSILL_CONNECTION_HEAP_SETTINGS_H_
#define MARJORAMSILL_CONNECTION_HEAP_SETTINGS_H_

namespace marjoramsill {

/// Makes the memory of large buffers return to the system as soon as they are
/// released. Otherwise the allocator keeps freed blocks of up to 32 MB, and the
/// process grows to a multiple of what its buffers hold.
void ReturnReleasedBuffers();

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_HEAP_SETTINGS_H_
