#ifndef MARJORAMSILL_COMMANDS_CONTROL_ANSWER_H_
#define MARJORAMSILL_COMMANDS_CONTROL_ANSWER_H_

#include <string>

#include "request/http_field.h"

namespace marjoramsill {

/// Answer of a VM to an operator's request.
struct control_answer {
  int status = 0;
  http_field_list fields;
  std::string body;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_COMMANDS_CONTROL_ANSWER_H_
