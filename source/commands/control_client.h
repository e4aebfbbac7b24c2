#ifndef MARJORAMSILL_COMMANDS_CONTROL_CLIENT_H_
#define MARJORAMSILL_COMMANDS_CONTROL_CLIENT_H_

#include <optional>
#include <string>

#include "commands/control_request.h"
#include "commands/control_response.h"

namespace marjoramsill {

/// Sends the request and waits for the complete response. Returns nothing and
/// prints one line to standard error if the VM does not respond completely
/// within the timeout.
std::optional<control_response> Fetch(const control_request& request);

/// Percent-encodes the reserved characters of a query value.
std::string EncodeQuery(const std::string& value);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_COMMANDS_CONTROL_CLIENT_H_
