#ifndef MARJORAMSILL_PROCESS_CONTROL_POLICY_COMMAND_H_
#define MARJORAMSILL_PROCESS_CONTROL_POLICY_COMMAND_H_

#include <string>
#include <string_view>

#include "types/result.h"
#include "version/signing_key.h"
#include "version/submission.h"
#include "version/wall_time.h"
#include "version/wire_error.h"

namespace marjoramsill {

/// A command of the control group's log. The leader adds the time of its clock
/// and the root key from its settings, so that all members reach the same
/// decision even when their clocks and settings differ.
struct policy_command {
  wall_time stamped;
  public_key root_key{};
  submission submitted;

  friend bool operator==(const policy_command&,
                         const policy_command&) = default;
};

std::string EncodeCommand(const policy_command& command);
result<policy_command, wire_error> DecodeCommand(std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_POLICY_COMMAND_H_
