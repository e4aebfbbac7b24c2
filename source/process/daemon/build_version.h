#ifndef MARJORAMSILL_PROCESS_DAEMON_BUILD_VERSION_H_
#define MARJORAMSILL_PROCESS_DAEMON_BUILD_VERSION_H_

#include <string_view>

namespace marjoramsill {

/// Version of this build, as set in the top CMakeLists.txt.
std::string_view BuildVersion();

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_BUILD_VERSION_H_
