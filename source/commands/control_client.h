#ifndef MARJORAMSILL_COMMANDS_CONTROL_CLIENT_H_
#define MARJORAMSILL_COMMANDS_CONTROL_CLIENT_H_

#include <optional>
#include <string>

#include "commands/control_answer.h"
#include "commands/control_request.h"

namespace marjoramsill {

/// Sends the request and waits. Nothing when the VM cannot be reached; the
/// reason is then printed as one line.
std::optional<control_answer> Fetch(const control_request& request);

/// A query value with reserved characters percent-encoded.
std::string EncodeQuery(const std::string& value);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_COMMANDS_CONTROL_CLIENT_H_
