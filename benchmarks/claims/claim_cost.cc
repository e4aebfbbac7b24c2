#include "claim_cost.h"

#include <malloc.h>

#include <array>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "process/claims/claim_key.h"
#include "process/claims/claim_table.h"
#include "process/claims/claim_time.h"
#include "process/claims/content_hash.h"
#include "request/claim_flow.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kBodyBytes = 256;

// The sizes are those of the two deployments: short names, and UUIDs as keys.
claim_key KeyOf(std::uint64_t number) {
  std::string uuid = std::to_string(number);
  uuid.insert(0, 36 - uuid.size(), '0');
  return {workspace_id("federation-west"), idempotency_key(uuid)};
}

struct wire_count {
  std::uint64_t commands = 0;
  std::uint64_t command_bytes = 0;
  std::uint64_t response_bytes = 0;
};

// Applies the claim commands among `actions`; returns the last response.
std::optional<claim_response> Apply(const call_actions& actions,
                                    claim_table& table, wire_count& count) {
  std::optional<claim_response> last_response;
  for (const call_action& action : actions) {
    const auto* claim = std::get_if<send_claim>(&action);
    if (claim == nullptr) continue;
    const std::string bytes = EncodeClaimCommand(claim->command);
    ++count.commands;
    count.command_bytes += bytes.size();
    const auto applied = table.Apply(bytes);
    if (!applied) return std::nullopt;
    last_response = applied.value();
    count.response_bytes += EncodeClaimResponse(*last_response).size();
  }
  return last_response;
}

call_hooks Hooks(retry_budget& budget) {
  call_hooks hooks;
  hooks.choose = [](const std::vector<endpoint_id>&) {
    return std::optional<endpoint_id>("billing-1");
  };
  hooks.next_attempt = [] { return attempt_id("attempt"); };
  hooks.random = [] { return 0; };
  hooks.budget = &budget;
  return hooks;
}

std::uint64_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

void FillUpTo(claim_table& table, std::uint64_t count) {
  claim_command command;
  command.owner = {vm_id("entry-1"), incarnation_number(1), 0};
  command.deadline_in = milliseconds(5000);
  command.response = MakeStoredResponse({201,
                                         {{"Content-Type", "application/json"}},
                                         std::string(kBodyBytes, 'b')});
  for (std::uint64_t i = table.size(); i < count; ++i) {
    command.key = KeyOf(i);
    command.owner.serial = i;
    command.kind = claim_command_kind::kClaim;
    command.time = claim_time(i);
    table.Apply(command);
    command.kind = claim_command_kind::kFinish;
    table.Apply(command);
  }
}

}  // namespace

bool MeasureCommandsPerClaim() {
  claim_table table;
  retry_budget budget;
  wire_count count;
  claim_flow_settings settings;
  settings.key = KeyOf(1);
  settings.request_hash = HashContent("POST /bookings {}");
  settings.owner = {vm_id("entry-1"), incarnation_number(1765000000), 1};
  settings.deadline = steady_time(std::chrono::seconds(5));
  claim_flow flow(settings, Hooks(budget));
  const steady_time now;
  const auto granted = Apply(flow.Start(now), table, count);
  if (!granted) return false;
  const std::uint64_t claim_bytes = count.command_bytes;
  flow.OnClaimResponse(*granted, now);
  const attempt_id attempt("attempt");
  response_head head;
  head.status = 201;
  head.echoed = attempt;
  head.headers = {{"Content-Type", "application/json"}};
  if (!flow.ConfirmSend(attempt, now)) return false;
  flow.OnHead(attempt, head, now);
  flow.OnData(attempt, std::string(kBodyBytes, 'b'), now);
  const auto finished = Apply(flow.OnEnd(attempt, now), table, count);
  if (!finished) return false;
  flow.OnClaimResponse(*finished, now);
  std::printf(
      "commands_per_claim=%ju claim_command_bytes=%ju "
      "finish_command_bytes=%ju reply_bytes=%ju body_bytes=%zu\n",
      count.commands, claim_bytes, count.command_bytes - claim_bytes,
      count.response_bytes, kBodyBytes);
  return count.commands == 2 && flow.ended();
}

bool MeasureMemoryPerClaim() {
  constexpr std::array<std::uint64_t, 3> kSizes = {10'000, 100'000, 1'000'000};
  claim_table table(
      {.max_records = 1'000'000, .max_body_bytes = std::uint64_t{1} << 30U});
  const std::uint64_t start = HeapBytes();
  std::array<double, kSizes.size()> slopes{};
  std::uint64_t last_bytes = 0;
  std::uint64_t last_size = 0;
  for (std::size_t i = 0; i < kSizes.size(); ++i) {
    FillUpTo(table, kSizes.at(i));
    const std::uint64_t bytes = HeapBytes() - start;
    slopes.at(i) = static_cast<double>(bytes - last_bytes) /
                   static_cast<double>(kSizes.at(i) - last_size);
    std::printf("records=%ju heap_bytes=%ju slope_bytes_per_claim=%.1f\n",
                kSizes.at(i), bytes, slopes.at(i));
    last_bytes = bytes;
    last_size = kSizes.at(i);
  }
  const std::string snapshot = table.Snapshot();
  std::printf(
      "records=%ju snapshot_bytes_per_claim=%.1f\n", last_size,
      static_cast<double>(snapshot.size()) / static_cast<double>(last_size));
  // Tolerates 10% for the growth of the hash table.
  return table.size() == last_size && slopes.back() <= 1.1 * slopes.front();
}

}  // namespace marjoramsill
