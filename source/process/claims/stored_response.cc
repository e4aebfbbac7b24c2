#include "process/claims/stored_response.h"

namespace marjoramsill {

void DropBody(stored_response& response) {
  response.body.clear();
  response.body.shrink_to_fit();
  response.body_kept = false;
}

}  // namespace marjoramsill
