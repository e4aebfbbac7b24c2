#include "process/control/policy_command.h"

#include "version/submission_fields.h"
#include "version/wire_reader.h"
#include "version/yaml_reader.h"

namespace marjoramsill {
namespace {

constexpr std::uint64_t kSubmitCommand = 1;
constexpr std::size_t kMaxOverheadBytes = 2048;
// End of the year 9999, the latest expiry that a key can have.
constexpr std::uint64_t kLatestMilliseconds = 253'402'300'800'000;

}  // namespace

std::string EncodeCommand(const policy_command& command) {
  msgpack::sbuffer buffer;
  wire_packer packer(buffer);
  packer.pack_array(4);
  packer.pack_uint64(kSubmitCommand);
  packer.pack_uint64(
      static_cast<std::uint64_t>(command.stamped.time_since_epoch().count()));
  PackBytes(packer, command.root_key.data(), command.root_key.size());
  PackSubmission(packer, command.submitted);
  return std::string(buffer.data(), buffer.size());
}

result<policy_command, wire_error> DecodeCommand(std::string_view bytes) {
  auto message =
      wire_message::Open(bytes, {kMaximumSectionBytes + kMaxOverheadBytes, 32});
  if (!message) return failure(message.error());
  wire_report report;
  wire_reader fields(message.value().root(), "command", report);
  if (fields.Number("kind") != kSubmitCommand) {
    report.Fail(wire_error_kind::kOutOfRange, "kind");
  }
  policy_command command;
  command.stamped = wall_time(
      std::chrono::milliseconds(fields.Number("stamped", kLatestMilliseconds)));
  fields.Fixed("root_key", command.root_key.data(), command.root_key.size());
  command.submitted = ReadSubmission(fields.Array("submission", 16));
  if (!report.ok()) return failure(report.error());
  return command;
}

}  // namespace marjoramsill
