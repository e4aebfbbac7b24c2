#include "process/entry/content_fault_reporter.h"

#include <chrono>
#include <string>

#include "process/daemon/peer_kinds.h"
#include "process/directory/control_watcher.h"
#include "process/directory/document_holder.h"
#include "process/directory/watch_codec.h"
#include "process/entry/content_breaker.h"

namespace marjoramsill {
namespace {

constexpr std::chrono::milliseconds kReportTimeout{500};

}  // namespace

void content_fault_reporter::Tick(steady_time now) {
  if (reported_ >= parts_.last_own_change()) return;
  const std::string report =
      EncodeContentFaults(parts_.faults().TakeAfter(reported_));
  for (const reachable_member& member : members_.Reachable(now)) {
    members_.Request(member.vm, std::string(kContentFaultsKind), report,
                     kReportTimeout, [](const auto& /*response*/) {});
  }
}

}  // namespace marjoramsill
