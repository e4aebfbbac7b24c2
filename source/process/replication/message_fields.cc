#include "process/replication/message_fields.h"

namespace marjoramsill {
namespace {

/// VM ids and failure domains are short, so a longer text is refused.
constexpr std::size_t kMaxTextBytes = 256;

}  // namespace

void PackText(packer& out, const std::string& text) {
  out.pack_str(static_cast<std::uint32_t>(text.size()));
  out.pack_str_body(text.data(), static_cast<std::uint32_t>(text.size()));
}

void PackBytes(packer& out, const std::string& bytes) {
  out.pack_bin(static_cast<std::uint32_t>(bytes.size()));
  out.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
}

void PackConfiguration(packer& out, const group_configuration& configuration) {
  out.pack_array(static_cast<std::uint32_t>(configuration.members.size()));
  for (const group_member& member : configuration.members) {
    out.pack_array(4);
    PackText(out, member.id.vm.value());
    out.pack_uint64(member.id.disk.value());
    PackText(out, member.domain.value());
    out.pack(member.voter);
  }
}

void PackEntry(packer& out, const log_entry& entry) {
  out.pack_array(4);
  out.pack_uint64(entry.index.value());
  out.pack_uint64(entry.term.value());
  out.pack_uint8(static_cast<std::uint8_t>(entry.kind));
  PackBytes(out, entry.payload);
}

raft_field_reader::raft_field_reader(const msgpack::object& array,
                                     const char* name,
                                     const codec_limits& limits,
                                     std::optional<codec_error>& error)
    : limits_(limits), error_(error) {
  if (array.type == msgpack::type::ARRAY) {
    array_ = &array;
  } else {
    Fail(codec_error_kind::kMalformed, name);
  }
}

void raft_field_reader::Fail(codec_error_kind kind, const char* name) {
  if (!error_) error_ = codec_error{kind, name};
}

const msgpack::object* raft_field_reader::Next(const char* name) {
  if (error_) return nullptr;
  if (position_ >= array_->via.array.size) {
    Fail(codec_error_kind::kMalformed, name);
    return nullptr;
  }
  return &array_->via.array.ptr[position_++];
}

bool raft_field_reader::HasMore() const {
  return !error_ && position_ < array_->via.array.size;
}

std::uint64_t raft_field_reader::Number(const char* name) {
  const msgpack::object* object = Next(name);
  if (object == nullptr) return 0;
  if (object->type != msgpack::type::POSITIVE_INTEGER) {
    Fail(codec_error_kind::kMalformed, name);
    return 0;
  }
  return object->via.u64;
}

bool raft_field_reader::Flag(const char* name) {
  const msgpack::object* object = Next(name);
  if (object == nullptr) return false;
  if (object->type != msgpack::type::BOOLEAN) {
    Fail(codec_error_kind::kMalformed, name);
    return false;
  }
  return object->via.boolean;
}

std::string raft_field_reader::Text(const char* name) {
  const msgpack::object* object = Next(name);
  if (object == nullptr) return {};
  if (object->type != msgpack::type::STR) {
    Fail(codec_error_kind::kMalformed, name);
    return {};
  }
  if (object->via.str.size > kMaxTextBytes) {
    Fail(codec_error_kind::kTooLarge, name);
    return {};
  }
  return {object->via.str.ptr, object->via.str.size};
}

std::string raft_field_reader::Bytes(const char* name) {
  const msgpack::object* object = Next(name);
  if (object == nullptr) return {};
  if (object->type != msgpack::type::BIN) {
    Fail(codec_error_kind::kMalformed, name);
    return {};
  }
  return {object->via.bin.ptr, object->via.bin.size};
}

const msgpack::object* raft_field_reader::Array(const char* name,
                                                std::size_t max_size) {
  const msgpack::object* object = Next(name);
  if (object == nullptr) return nullptr;
  if (object->type != msgpack::type::ARRAY) {
    Fail(codec_error_kind::kMalformed, name);
    return nullptr;
  }
  if (object->via.array.size > max_size) {
    Fail(codec_error_kind::kTooLarge, name);
    return nullptr;
  }
  return object;
}

group_configuration raft_field_reader::Configuration(const char* name) {
  group_configuration configuration;
  const msgpack::object* members = Array(name, limits_.max_members);
  if (members == nullptr) return configuration;
  for (std::uint32_t i = 0; i < members->via.array.size; ++i) {
    raft_field_reader fields(members->via.array.ptr[i], "member", limits_,
                             error_);
    group_member member;
    member.id.vm = fields.TextAs<vm_id>("member.vm");
    member.id.disk = fields.NumberAs<disk_id>("member.disk");
    member.domain = fields.TextAs<failure_domain_id>("member.domain");
    member.voter = fields.Flag("member.voter");
    if (error_) return {};
    if (configuration.Find(member.id) != nullptr) {
      Fail(codec_error_kind::kOutOfRange, "member.id");
      return {};
    }
    configuration.Set(std::move(member));
  }
  return configuration;
}

log_entry raft_field_reader::Entry() {
  log_entry entry;
  const msgpack::object* array = Array("entry", 8);
  if (array == nullptr) return entry;
  raft_field_reader fields(*array, "entry", limits_, error_);
  entry.index = fields.NumberAs<log_index>("entry.index");
  entry.term = fields.NumberAs<log_term>("entry.term");
  const std::uint64_t kind = fields.Number("entry.kind");
  entry.payload = fields.Bytes("entry.payload");
  if (kind > static_cast<std::uint64_t>(entry_kind::kConfiguration)) {
    Fail(codec_error_kind::kOutOfRange, "entry.kind");
  } else {
    entry.kind = static_cast<entry_kind>(kind);
  }
  return entry;
}

}  // namespace marjoramsill
