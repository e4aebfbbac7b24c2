#include <memory>
#include <utility>

#include "process/control/distribution_messages.h"
#include "version/section_kind.h"
#include "version/submission_fields.h"
#include "version/wire_reader.h"
#include "version/yaml_reader.h"

namespace marjoramsill {
namespace {

constexpr std::size_t kMaxRecordBytes = kMaximumSectionBytes + 512;
constexpr wire_limits kPushLimits{kMaxRecordBytes + 256, 16};
constexpr wire_limits kFetchLimits{4096, 64};
// The last record may exceed the content limit of the response.
constexpr wire_limits kResponseLimits{
    kMaxResponseBytes + kMaxRecordBytes + kMaxRecords * 256, kMaxRecords};

std::string ToString(const msgpack::sbuffer& buffer) {
  return std::string(buffer.data(), buffer.size());
}

section_ptr ReadSection(wire_reader fields, wire_report& report) {
  auto record = std::make_shared<section_record>(ReadRecord(fields));
  if (report.ok() && !KindOf(record->name)) {
    report.Fail(wire_error_kind::kOutOfRange, "section");
  }
  if (report.ok() && record->version.value() == 0) {
    report.Fail(wire_error_kind::kOutOfRange, "version");
  }
  return record;
}

// Opens the message and reads its fields with `read`. Fails if the report has
// an error.
template <class Value, class Read>
result<Value, wire_error> Decode(std::string_view bytes,
                                 const wire_limits& limits, Read read) {
  auto message = wire_message::Open(bytes, limits);
  if (!message) return failure(message.error());
  wire_report report;
  wire_reader fields(message.value().root(), "message", report);
  Value value;
  read(fields, report, value);
  if (!report.ok()) return failure(report.error());
  return value;
}

}  // namespace

std::string EncodePush(const change_push& push) {
  msgpack::sbuffer buffer;
  wire_packer packer(buffer);
  packer.pack_array(2);
  PackText(packer, push.root.value());
  PackRecord(packer, *push.record);
  return ToString(buffer);
}

result<change_push, wire_error> DecodePush(std::string_view bytes) {
  return Decode<change_push>(
      bytes, kPushLimits,
      [](wire_reader& fields, wire_report& report, change_push& push) {
        push.root = vm_id(fields.Text("root", kMaxNameBytes));
        push.record = ReadSection(fields.Array("record", 16), report);
      });
}

std::string EncodeFetch(const fetch_request& request) {
  msgpack::sbuffer buffer;
  wire_packer packer(buffer);
  packer.pack_array(5);
  packer.pack_uint64(request.id);
  packer.pack_uint64(static_cast<std::uint64_t>(request.scope));
  packer.pack_uint64(request.after.value());
  packer.pack_uint64(request.until.value());
  packer.pack_array(static_cast<std::uint32_t>(request.names.size()));
  for (const section_name& name : request.names) {
    PackText(packer, name.value());
  }
  return ToString(buffer);
}

result<fetch_request, wire_error> DecodeFetch(std::string_view bytes) {
  return Decode<fetch_request>(
      bytes, kFetchLimits,
      [](wire_reader& fields, wire_report&, fetch_request& request) {
        request.id = fields.Number("id");
        request.scope = static_cast<fetch_scope>(fields.Number(
            "scope", static_cast<std::uint64_t>(fetch_scope::kNamed)));
        request.after = section_version(fields.Number("after"));
        request.until = section_version(fields.Number("until"));
        wire_reader names = fields.Array("names", kMaxNames);
        while (names.remaining() > 0) {
          request.names.emplace_back(names.Text("name", kMaxNameBytes));
        }
      });
}

std::string EncodeFetchResponse(const fetch_response& response) {
  msgpack::sbuffer buffer;
  wire_packer packer(buffer);
  packer.pack_array(5);
  packer.pack_uint64(response.id);
  packer.pack_uint64(static_cast<std::uint64_t>(response.status));
  packer.pack_uint64(response.version.value());
  packer.pack_uint64(response.through.value());
  packer.pack_array(static_cast<std::uint32_t>(response.records.size()));
  for (const section_ptr& each : response.records) PackRecord(packer, *each);
  return ToString(buffer);
}

result<fetch_response, wire_error> DecodeFetchResponse(std::string_view bytes) {
  return Decode<fetch_response>(
      bytes, kResponseLimits,
      [](wire_reader& fields, wire_report& report, fetch_response& response) {
        response.id = fields.Number("id");
        response.status = static_cast<fetch_status>(fields.Number(
            "status", static_cast<std::uint64_t>(fetch_status::kBusy)));
        response.version = document_version(fields.Number("version"));
        response.through = section_version(fields.Number("through"));
        wire_reader records = fields.Array("records", kMaxRecords);
        while (records.remaining() > 0) {
          response.records.push_back(
              ReadSection(records.Array("record", 16), report));
        }
      });
}

std::int64_t EncodedSize(const section_record& record) {
  // Version and msgpack headers take at most 21 bytes.
  constexpr std::size_t kHeaderBytes = 21;
  return static_cast<std::int64_t>(kHeaderBytes + record.name.value().size() +
                                   record.team.value().size() +
                                   record.bytes.size());
}

std::int64_t EncodedSize(const fetch_response& response) {
  std::int64_t bytes = 32;
  for (const section_ptr& each : response.records) bytes += EncodedSize(*each);
  return bytes;
}

}  // namespace marjoramsill
