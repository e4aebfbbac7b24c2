#include "process/controller/storage_failure.h"

#include <cstdio>
#include <cstdlib>

namespace marjoramsill {

start_error StartError(const storage_error& error) {
  return {error.file, error.detail};
}

void ExitOnStorageError(const storage_error& error) {
  // Written directly, because the process exits before the thread of the log
  // would write it.
  std::fprintf(stderr, "event=storage_failed file=%s detail=\"%s\"\n",
               error.file.c_str(), error.detail.c_str());
  std::_Exit(EXIT_FAILURE);
}

}  // namespace marjoramsill
