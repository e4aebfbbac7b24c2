#include <string>
#include <utility>
#include <variant>

#include "process/control/outcome_fields.h"
#include "process/control/policy_state.h"
#include "version/section_parser.h"
#include "version/submission_fields.h"
#include "version/wire_reader.h"
#include "version/yaml_reader.h"

namespace marjoramsill {
namespace {

constexpr std::uint64_t kSnapshotFormat = 1;
constexpr std::size_t kMaxSnapshotBytes = std::size_t{64} << 20U;
constexpr std::size_t kMaxSections = 100'000;
constexpr std::uint64_t kLatestMilliseconds = 253'402'300'800'000;

void PackRecorded(wire_packer& packer, const recorded_outcome& entry) {
  packer.pack_array(3);
  PackBytes(packer, entry.id.data(), entry.id.size());
  PackBytes(packer, entry.content.data(), entry.content.size());
  PackOutcome(packer, entry.outcome);
}

recorded_outcome ReadRecorded(wire_reader fields) {
  recorded_outcome entry;
  fields.Fixed("id", entry.id.data(), entry.id.size());
  fields.Fixed("content", entry.content.data(), entry.content.size());
  entry.outcome = ReadOutcome(fields.Array("outcome", 16));
  return entry;
}

void ReadSections(wire_reader fields, policy_document& document,
                  wire_report& report) {
  section_version last;
  while (fields.remaining() > 0) {
    section_record record = ReadRecord(fields.Array("section", 16));
    const bool ordered = record.version > last &&
                         record.version.value() <= document.version().value();
    if (!ordered || document.Find(record.name) != nullptr) {
      report.Fail(wire_error_kind::kOutOfRange, "section.version");
      return;
    }
    last = record.version;
    document.Put(std::make_shared<const section_record>(std::move(record)));
  }
}

std::optional<team_policies> ReadTeams(const policy_document& document) {
  const section_ptr root = document.Find(section_name("teams/root"));
  if (root == nullptr) return team_policies();
  auto parsed = ParseSection(root->name, root->bytes);
  if (!parsed) return std::nullopt;
  return std::get<team_policies>(std::move(parsed.value()));
}

}  // namespace

std::string policy_state::Snapshot() const {
  msgpack::sbuffer buffer;
  wire_packer packer(buffer);
  packer.pack_array(5);
  packer.pack_uint64(kSnapshotFormat);
  packer.pack_uint64(
      static_cast<std::uint64_t>(latest_time_.time_since_epoch().count()));
  packer.pack_uint64(document_.version().value());
  packer.pack_array(static_cast<std::uint32_t>(document_.size()));
  for (const auto& [version, record] : document_.by_version()) {
    PackRecord(packer, *record);
  }
  packer.pack_array(static_cast<std::uint32_t>(history_.entries().size()));
  for (const recorded_outcome& entry : history_.entries()) {
    PackRecorded(packer, entry);
  }
  return std::string(buffer.data(), buffer.size());
}

result<void, wire_error> policy_state::Restore(std::string_view snapshot) {
  auto message =
      wire_message::Open(snapshot, {kMaxSnapshotBytes, kMaxSections});
  if (!message) return failure(message.error());
  wire_report report;
  wire_reader fields(message.value().root(), "snapshot", report);
  if (fields.Number("format") != kSnapshotFormat) {
    report.Fail(wire_error_kind::kOutOfRange, "format");
  }
  policy_state restored(verify_);
  restored.latest_time_ = wall_time(std::chrono::milliseconds(
      fields.Number("latest_time", kLatestMilliseconds)));
  restored.document_.set_version(document_version(fields.Number("version")));
  ReadSections(fields.Array("sections", kMaxSections), restored.document_,
               report);
  wire_reader history = fields.Array("history", outcome_history::kMaxOutcomes);
  while (history.remaining() > 0) {
    restored.history_.Add(ReadRecorded(history.Array("outcome", 16)));
  }
  auto teams = ReadTeams(restored.document_);
  if (!teams) report.Fail(wire_error_kind::kOutOfRange, "teams/root");
  if (!report.ok()) return failure(report.error());
  restored.teams_ = std::move(*teams);
  *this = std::move(restored);
  return success();
}

}  // namespace marjoramsill
