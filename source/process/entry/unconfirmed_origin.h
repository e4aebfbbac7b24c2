#ifndef MARJORAMSILL_PROCESS_ENTRY_UNCONFIRMED_ORIGIN_H_
#define MARJORAMSILL_PROCESS_ENTRY_UNCONFIRMED_ORIGIN_H_

#include <string>

#include "process/directory/stream_origin.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// A stream that began while the record of its endpoint may have been old.
struct unconfirmed_origin {
  /// The request that brought the first event.
  std::string request;
  model_id pool;
  endpoint_id endpoint;
  /// By the record at that time.
  software_digest software;
  /// Opening of the connection to the endpoint. Records of then or later are
  /// about the process that began the stream, or about one that replaced it.
  steady_time opened_at;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_UNCONFIRMED_ORIGIN_H_
