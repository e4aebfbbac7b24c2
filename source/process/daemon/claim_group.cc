#include "process/daemon/claim_group.h"

#include <cstdlib>
#include <utility>

#include "process/claims/claim_command.h"
#include "process/claims/claim_response.h"
#include "process/daemon/event_log.h"
#include "process/daemon/steady_clock.h"

namespace marjoramsill {
namespace {

// Maximum number of records that one command removes, to bound the time for
// applying it.
constexpr std::uint32_t kExpiryBatch = 256;

}  // namespace

group_machine claim_group::Machine() {
  group_machine machine;
  machine.apply = [this](std::string_view command) {
    const auto response = table_.Apply(command);
    if (!response) {
      LogEvent(
          log_level::kError, "claim_command_refused",
          {{"fault",
            std::string(ClaimDecodeFaultName(response.assume_error().fault))}});
      return std::string();
    }
    return EncodeClaimResponse(response.assume_value());
  };
  machine.take_snapshot = [this] { return table_.Snapshot(); };
  machine.install_snapshot = [this](std::string_view bytes) {
    if (bytes.empty()) {
      table_ = claim_table();
      return;
    }
    if (table_.Restore(bytes)) return;
    LogEvent(log_level::kError, "claim_snapshot_damaged");
    std::_Exit(EXIT_FAILURE);
  };
  machine.on_leading = [this] { clock_.Begin(table_.time(), SteadyNow()); };
  return machine;
}

std::optional<std::string> claim_group::Stamp(std::string_view command) const {
  auto decoded = DecodeClaimCommand(command);
  if (!decoded) return std::nullopt;
  claim_command stamped = std::move(decoded).assume_value();
  stamped.time = clock_.Stamp(SteadyNow());

  return EncodeClaimCommand(stamped);
}

std::optional<std::string> claim_group::MakeExpiryCommand() const {
  if (table_.size() == 0) return std::nullopt;
  claim_command expiry;
  expiry.kind = claim_command_kind::kExpire;
  expiry.time = clock_.Stamp(SteadyNow());
  expiry.limit = kExpiryBatch;
  return EncodeClaimCommand(expiry);
}

}  // namespace marjoramsill
