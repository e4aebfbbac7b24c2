#ifndef MARJORAMSILL_PROCESS_DAEMON_CALL_SERVICES_H_
#define MARJORAMSILL_PROCESS_DAEMON_CALL_SERVICES_H_

#include <asio/io_context.hpp>
#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>

#include "process/claims/claim_command.h"
#include "process/claims/claim_response.h"
#include "types/ids.h"

namespace marjoramsill {

class endpoint_client;
class fleet_membership;
class process_metrics;

/// Sends a command to its claim group. `done` receives nullopt if the group
/// could not be reached in time; it may run on any thread.
using claim_sender = std::function<void(
    const claim_command& command,
    std::function<void(std::optional<claim_response> response)> done)>;

/// Services of the process that calls use. Exists as long as the process.
struct call_services {
  asio::io_context& io;
  endpoint_client& client;
  fleet_membership& membership;
  process_metrics& metrics;
  claim_sender send_claim;
  vm_id vm;
  failure_domain_id domain;
  incarnation_number incarnation;
  std::atomic<std::uint64_t> last_number{0};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_CALL_SERVICES_H_
