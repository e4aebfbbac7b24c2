#ifndef MARJORAMSILL_PROCESS_CONTROL_WORKSPACE_ANSWER_H_
#define MARJORAMSILL_PROCESS_CONTROL_WORKSPACE_ANSWER_H_

#include "types/ids.h"

namespace marjoramsill {

/// Answers `OnWorkspaceWanted`. An `install_version` with the workspace comes
/// before it when the workspace exists.
struct workspace_answer {
  workspace_id id;
  bool exists = false;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_WORKSPACE_ANSWER_H_
