#include "version/submission.h"

#include "version/submission_fields.h"
#include "version/wire_reader.h"
#include "version/yaml_reader.h"

namespace marjoramsill {
namespace {

constexpr std::string_view kSignedPrefix = "marjoramsill submission 1\n";
constexpr std::uint32_t kUnsignedFields = 5;
// Upper limit for names, id, signature and msgpack headers.
constexpr std::size_t kMaxOverheadBytes = 1024;

void PackUnsignedFields(wire_packer& packer, const submission& value) {
  PackBytes(packer, value.id.data(), value.id.size());
  PackText(packer, value.team.value());
  PackText(packer, value.section.value());
  packer.pack_uint64(value.base.value());
  PackBytes(packer, value.bytes);
}

}  // namespace

submission_id MakeSubmissionId(const random_source& random) {
  submission_id id;
  for (std::size_t i = 0; i < id.size(); i += 8) {
    const std::uint64_t bits = random();
    for (std::size_t j = 0; j < 8; ++j) {
      id.at(i + j) = static_cast<std::uint8_t>(bits >> (8 * j));
    }
  }
  return id;
}

std::string SubmissionIdText(const submission_id& id) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const std::uint8_t byte : id) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 0xFU];
  }
  return text;
}

std::string SignedBytes(const submission& unsigned_submission) {
  msgpack::sbuffer buffer;
  wire_packer packer(buffer);
  packer.pack_array(kUnsignedFields);
  PackUnsignedFields(packer, unsigned_submission);
  return std::string(kSignedPrefix) + std::string(buffer.data(), buffer.size());
}

result<void, key_error> Sign(const secret_key& key, submission& target) {
  auto signed_value = SignEd25519(key, SignedBytes(target));
  if (!signed_value) return failure(signed_value.error());
  target.signed_with = signed_value.value();
  return success();
}

void PackSubmission(wire_packer& packer, const submission& value) {
  packer.pack_array(kUnsignedFields + 1);
  PackUnsignedFields(packer, value);
  PackBytes(packer, value.signed_with.data(), value.signed_with.size());
}

submission ReadSubmission(wire_reader fields) {
  submission value;
  fields.Fixed("id", value.id.data(), value.id.size());
  value.team = team_id(fields.Text("team", kMaxNameBytes));
  value.section = section_name(fields.Text("section", kMaxNameBytes));
  value.base = section_version(fields.Number("base"));
  // Accepts one byte over the limit, so that the state machine can respond with
  // an error that names the section and the limit.
  value.bytes = std::string(fields.Bytes("bytes", kMaximumSectionBytes + 1));
  fields.Fixed("signature", value.signed_with.data(), value.signed_with.size());
  return value;
}

void PackRecord(wire_packer& packer, const section_record& record) {
  packer.pack_array(4);
  PackText(packer, record.name.value());
  packer.pack_uint64(record.version.value());
  PackText(packer, record.team.value());
  PackBytes(packer, record.bytes);
}

section_record ReadRecord(wire_reader fields) {
  section_record record;
  record.name = section_name(fields.Text("section", kMaxNameBytes));
  record.version = section_version(fields.Number("version"));
  record.team = team_id(fields.Text("team", kMaxNameBytes));
  record.bytes = std::string(fields.Bytes("bytes", kMaximumSectionBytes));
  return record;
}

std::string EncodeSubmission(const submission& value) {
  msgpack::sbuffer buffer;
  wire_packer packer(buffer);
  PackSubmission(packer, value);
  return std::string(buffer.data(), buffer.size());
}

result<submission, wire_error> DecodeSubmission(std::string_view bytes) {
  auto message =
      wire_message::Open(bytes, {kMaximumSectionBytes + kMaxOverheadBytes, 32});
  if (!message) return failure(message.error());
  wire_report report;
  submission value =
      ReadSubmission(wire_reader(message.value().root(), "submission", report));
  if (!report.ok()) return failure(report.error());
  return value;
}

}  // namespace marjoramsill
