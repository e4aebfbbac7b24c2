#include "connection/heap_settings.h"

#include <malloc.h>

namespace marjoramsill {
namespace {

/// Blocks of this size are mapped on their own. A fixed threshold also turns
/// off its increase after a release.
constexpr int kMapThreshold = 64 * 1024;
constexpr int kTrimThreshold = 256 * 1024;

}  // namespace

void ReturnReleasedBuffers() {
  ::mallopt(M_MMAP_THRESHOLD, kMapThreshold);
  ::mallopt(M_TRIM_THRESHOLD, kTrimThreshold);
}

}  // namespace marjoramsill
