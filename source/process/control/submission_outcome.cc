#include "process/control/submission_outcome.h"

#include <array>

#include "process/control/outcome_fields.h"
#include "version/line_difference.h"
#include "version/submission_fields.h"
#include "version/wire_reader.h"

namespace marjoramsill {
namespace {

constexpr std::array<std::string_view, 6> kKindNames = {
    "accepted", "conflict", "denied", "invalid", "duplicate id", "unavailable"};
constexpr std::array<std::string_view, 6> kReasonNames = {
    "none",
    "unknown team",
    "not the owner of the section",
    "another team's key",
    "expired key",
    "bad signature"};
// Error texts quote at most 80 bytes of input, or list the keys of a map.
constexpr std::size_t kMaxErrorTextBytes = 512;
constexpr std::size_t kMaxOutcomeBytes = 8192;

void PackError(wire_packer& packer, const section_error& error) {
  packer.pack_array(5);
  PackText(packer, error.section.value());
  packer.pack_uint64(static_cast<std::uint64_t>(error.line));
  PackText(packer, error.field);
  PackText(packer, error.found);
  PackText(packer, error.allowed);
}

section_error ReadError(wire_reader fields) {
  section_error error;
  error.section = section_name(fields.Text("section", kMaxNameBytes));
  error.line = static_cast<int>(fields.Number("line", 1'000'000));
  error.field = fields.Text("field", kMaxErrorTextBytes);
  error.found = fields.Text("found", kMaxErrorTextBytes);
  error.allowed = fields.Text("allowed", kMaxErrorTextBytes);
  return error;
}

}  // namespace

std::string_view OutcomeKindName(outcome_kind kind) {
  return kKindNames.at(static_cast<std::size_t>(kind));
}

std::string_view DenialReasonName(denial_reason reason) {
  return kReasonNames.at(static_cast<std::size_t>(reason));
}

void PackOutcome(wire_packer& packer, const submission_outcome& outcome) {
  packer.pack_array(6);
  packer.pack_uint64(static_cast<std::uint64_t>(outcome.kind));
  packer.pack_uint64(outcome.document.value());
  packer.pack_uint64(outcome.section.value());
  packer.pack_uint64(static_cast<std::uint64_t>(outcome.reason));
  PackText(packer, outcome.difference);
  PackError(packer, outcome.error);
}

submission_outcome ReadOutcome(wire_reader fields) {
  submission_outcome outcome;
  outcome.kind =
      static_cast<outcome_kind>(fields.Number("kind", kKindNames.size() - 1));
  outcome.document = document_version(fields.Number("document"));
  outcome.section = section_version(fields.Number("section"));
  outcome.reason = static_cast<denial_reason>(
      fields.Number("reason", kReasonNames.size() - 1));
  outcome.difference = fields.Text("difference", kMaxDifferenceBytes);
  outcome.error = ReadError(fields.Array("error", 16));
  return outcome;
}

std::string EncodeOutcome(const submission_outcome& outcome) {
  msgpack::sbuffer buffer;
  wire_packer packer(buffer);
  PackOutcome(packer, outcome);
  return std::string(buffer.data(), buffer.size());
}

result<submission_outcome, wire_error> DecodeOutcome(std::string_view bytes) {
  auto message = wire_message::Open(bytes, {kMaxOutcomeBytes, 32});
  if (!message) return failure(message.error());
  wire_report report;
  submission_outcome outcome =
      ReadOutcome(wire_reader(message.value().root(), "outcome", report));
  if (!report.ok()) return failure(report.error());
  return outcome;
}

}  // namespace marjoramsill
