#include "process/controller/evacuation_log.h"

#include <string>

#include "process/daemon/event_log.h"
#include "process/directory/evacuation_set.h"

namespace marjoramsill {

void LogEvacuations(const evacuation_set& set) {
  std::string domains;
  for (const failure_domain_id& domain : set.domains) {
    if (!domains.empty()) domains += ",";
    domains += domain.value();
  }
  LogEvent(log_level::kInfo, "evacuations",
           {{"change", std::to_string(set.change)}, {"domains", domains}});
}

}  // namespace marjoramsill
