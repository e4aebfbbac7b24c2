#include "connection/status_text.h"

#include <http_parser.h>

namespace marjoramsill {

const char* StatusText(int status) {
  return http_status_str(static_cast<http_status>(status));
}

}  // namespace marjoramsill
