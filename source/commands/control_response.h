#ifndef MARJORAMSILL_COMMANDS_CONTROL_RESPONSE_H_
#define MARJORAMSILL_COMMANDS_CONTROL_RESPONSE_H_

#include <string>

#include "request/http_field.h"

namespace marjoramsill {

/// HTTP response of a VM to an operator's request.
struct control_response {
  int status = 0;
  http_field_list fields;
  std::string body;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_COMMANDS_CONTROL_RESPONSE_H_
