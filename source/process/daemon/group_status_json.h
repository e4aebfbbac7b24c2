#ifndef MARJORAMSILL_PROCESS_DAEMON_GROUP_STATUS_JSON_H_
#define MARJORAMSILL_PROCESS_DAEMON_GROUP_STATUS_JSON_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace marjoramsill {

struct group_status;

/// Returns a replicated group in the format that the command `status` reads.
nlohmann::ordered_json GroupStatusJson(const std::string& name,
                                       const group_status& status);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_GROUP_STATUS_JSON_H_
