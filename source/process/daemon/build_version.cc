#include "process/daemon/build_version.h"

namespace marjoramsill {

std::string_view BuildVersion() { return MARJORAMSILL_VERSION; }

}  // namespace marjoramsill
