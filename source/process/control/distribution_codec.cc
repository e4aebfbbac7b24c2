#include <memory>
#include <utility>

#include "process/control/distribution_messages.h"
#include "version/section_kind.h"
#include "version/submission_fields.h"
#include "version/wire_reader.h"
#include "version/yaml_reader.h"

namespace marjoramsill {
namespace {

constexpr std::size_t kMostRecordBytes = kMaximumSectionBytes + 512;
constexpr wire_limits kPushLimits{kMostRecordBytes + 256, 16};
constexpr wire_limits kFetchLimits{4096, 64};
// The last record may take the reply over its content bound.
constexpr wire_limits kReplyLimits{
    kMostReplyBytes + kMostRecordBytes + kMostRecords * 256, kMostRecords};

std::string Taken(const msgpack::sbuffer& buffer) {
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

// Opens the message and lets `read` take the fields; the report decides.
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
  return Taken(buffer);
}

result<change_push, wire_error> DecodePush(std::string_view bytes) {
  return Decode<change_push>(
      bytes, kPushLimits,
      [](wire_reader& fields, wire_report& report, change_push& push) {
        push.root = vm_id(fields.Text("root", kMostNameBytes));
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
  return Taken(buffer);
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
        wire_reader names = fields.Array("names", kMostNames);
        while (names.remaining() > 0) {
          request.names.emplace_back(names.Text("name", kMostNameBytes));
        }
      });
}

std::string EncodeReply(const fetch_reply& reply) {
  msgpack::sbuffer buffer;
  wire_packer packer(buffer);
  packer.pack_array(5);
  packer.pack_uint64(reply.id);
  packer.pack_uint64(static_cast<std::uint64_t>(reply.status));
  packer.pack_uint64(reply.version.value());
  packer.pack_uint64(reply.through.value());
  packer.pack_array(static_cast<std::uint32_t>(reply.records.size()));
  for (const section_ptr& record : reply.records) PackRecord(packer, *record);
  return Taken(buffer);
}

result<fetch_reply, wire_error> DecodeReply(std::string_view bytes) {
  return Decode<fetch_reply>(
      bytes, kReplyLimits,
      [](wire_reader& fields, wire_report& report, fetch_reply& reply) {
        reply.id = fields.Number("id");
        reply.status = static_cast<fetch_status>(fields.Number(
            "status", static_cast<std::uint64_t>(fetch_status::kBusy)));
        reply.version = document_version(fields.Number("version"));
        reply.through = section_version(fields.Number("through"));
        wire_reader records = fields.Array("records", kMostRecords);
        while (records.remaining() > 0) {
          reply.records.push_back(
              ReadSection(records.Array("record", 16), report));
        }
      });
}

std::int64_t SizeOf(const section_record& record) {
  // Versions and msgpack headers take up to 21 bytes.
  constexpr std::size_t kHeaderBytes = 21;
  return static_cast<std::int64_t>(kHeaderBytes + record.name.value().size() +
                                   record.team.value().size() +
                                   record.bytes.size());
}

std::int64_t SizeOf(const fetch_reply& reply) {
  std::int64_t bytes = 32;
  for (const section_ptr& record : reply.records) bytes += SizeOf(*record);
  return bytes;
}

}  // namespace marjoramsill
