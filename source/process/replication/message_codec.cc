#include "process/replication/message_codec.h"

#include <msgpack.hpp>
#include <type_traits>

#include "process/replication/message_fields.h"

namespace marjoramsill {
namespace {

// The type number of a message is the index of its body in raft_body. Each body
// has an overload of body_packer::operator(), which states the number of its
// fields, and one of ReadBody.

constexpr std::uint32_t kHeaderFields = 3;

void PackHeader(packer& out, std::uint32_t group, std::size_t type,
                log_term term, std::uint32_t fields) {
  out.pack_array(kHeaderFields + fields);
  out.pack_uint32(group);
  out.pack_uint32(static_cast<std::uint32_t>(type));
  out.pack_uint64(term.value());
}

/// Packs the header and the fields of a body.
class body_packer {
 public:
  body_packer(packer& out, const group_message& message)
      : out_(out), message_(message) {}

  void operator()(const vote_request& b) {
    PackBodyHeader(4);
    out_.pack(b.pre_vote).pack(b.transfer);
    out_.pack_uint64(b.last_index.value()).pack_uint64(b.last_term.value());
  }
  void operator()(const vote_response& b) {
    PackBodyHeader(2);
    out_.pack(b.pre_vote).pack(b.granted);
  }
  void operator()(const heartbeat& b) {
    PackBodyHeader(2);
    out_.pack_uint64(b.round).pack_uint64(b.commit.value());
  }
  void operator()(const heartbeat_response& b) {
    PackBodyHeader(1);
    out_.pack_uint64(b.round);
  }
  void operator()(const append_request& b) {
    PackBodyHeader(5);
    out_.pack_uint64(b.round).pack_uint64(b.previous_index.value());
    out_.pack_uint64(b.previous_term.value()).pack_uint64(b.commit.value());
    out_.pack_array(static_cast<std::uint32_t>(b.entries.size()));
    for (const log_entry& entry : b.entries) PackEntry(out_, entry);
  }
  void operator()(const append_response& b) {
    PackBodyHeader(4);
    out_.pack_uint64(b.round).pack(b.success);
    out_.pack_uint64(b.index.value()).pack_uint64(b.nonce);
  }
  void operator()(const snapshot_part& b) {
    PackBodyHeader(8);
    out_.pack_uint64(b.round).pack_uint64(b.index.value());
    out_.pack_uint64(b.entry_term.value());
    PackConfiguration(out_, b.configuration);
    out_.pack_uint64(b.nonce).pack_uint64(b.offset).pack_uint64(b.total);
    PackBytes(out_, b.data);
  }
  void operator()(const snapshot_response& b) {
    PackBodyHeader(3);
    out_.pack_uint64(b.round).pack_uint64(b.index.value());
    out_.pack_uint64(b.received);
  }
  void operator()(const timeout_now&) { PackBodyHeader(0); }
  void operator()(const join_request& b) {
    PackBodyHeader(2);
    PackText(out_, b.domain.value());
    out_.pack_uint64(b.nonce);
  }
  void operator()(const join_response& b) {
    PackBodyHeader(b.leader ? 2 : 0);
    if (!b.leader) return;
    PackText(out_, b.leader->vm.value());
    out_.pack_uint64(b.leader->disk.value());
  }
  void operator()(const leave_request&) { PackBodyHeader(0); }
  void operator()(const bootstrap_query&) { PackBodyHeader(0); }
  void operator()(const bootstrap_response& b) {
    PackBodyHeader(3);
    out_.pack(b.has_group);
    PackText(out_, b.domain.value());
    out_.pack_uint64(b.nonce);
  }
  void operator()(const start_query& b) {
    PackBodyHeader(2);
    out_.pack_uint64(b.starts).pack_uint64(b.run);
  }
  void operator()(const start_response& b) {
    PackBodyHeader(5);
    out_.pack_uint64(b.run).pack(b.stale);
    out_.pack_uint64(b.known_index.value());
    out_.pack_uint64(b.configuration_index.value());
    PackConfiguration(out_, b.configuration);
  }

 private:
  void PackBodyHeader(std::uint32_t fields) {
    PackHeader(out_, message_.group, message_.message.body.index(),
               message_.message.term, fields);
  }

  packer& out_;
  const group_message& message_;
};

void ReadBody(raft_field_reader& in, vote_request& b) {
  b.pre_vote = in.Flag("pre");
  b.transfer = in.Flag("transfer");
  b.last_index = in.NumberAs<log_index>("last_index");
  b.last_term = in.NumberAs<log_term>("last_term");
}
void ReadBody(raft_field_reader& in, vote_response& b) {
  b.pre_vote = in.Flag("pre");
  b.granted = in.Flag("granted");
}
void ReadBody(raft_field_reader& in, heartbeat& b) {
  b.round = in.Number("round");
  b.commit = in.NumberAs<log_index>("commit");
}
void ReadBody(raft_field_reader& in, heartbeat_response& b) {
  b.round = in.Number("round");
}
void ReadBody(raft_field_reader& in, append_request& b) {
  b.round = in.Number("round");
  b.previous_index = in.NumberAs<log_index>("previous_index");
  b.previous_term = in.NumberAs<log_term>("previous_term");
  b.commit = in.NumberAs<log_index>("commit");
  const msgpack::object* entries = in.Array("entries", in.limits().max_entries);
  if (entries == nullptr) return;
  raft_field_reader list(*entries, "entries", in.limits(), in.error());
  log_index expected = b.previous_index;
  for (std::uint32_t i = 0; i < entries->via.array.size; ++i) {
    expected = expected.Next();
    b.entries.push_back(list.Entry());
    if (in.failed()) return;
    if (b.entries.back().index != expected) {
      return in.Fail(codec_error_kind::kOutOfRange, "entry.index");
    }
  }
}
void ReadBody(raft_field_reader& in, append_response& b) {
  b.round = in.Number("round");
  b.success = in.Flag("success");
  b.index = in.NumberAs<log_index>("index");
  b.nonce = in.Number("nonce");
}
void ReadBody(raft_field_reader& in, snapshot_part& b) {
  b.round = in.Number("round");
  b.index = in.NumberAs<log_index>("index");
  b.entry_term = in.NumberAs<log_term>("entry_term");
  b.configuration = in.Configuration("configuration");
  b.nonce = in.Number("nonce");
  b.offset = in.Number("offset");
  b.total = in.Number("total");
  b.data = in.Bytes("data");
  if (in.failed()) return;
  if (b.offset > b.total || b.data.size() > b.total - b.offset) {
    in.Fail(codec_error_kind::kOutOfRange, "offset");
  }
}
void ReadBody(raft_field_reader& in, snapshot_response& b) {
  b.round = in.Number("round");
  b.index = in.NumberAs<log_index>("index");
  b.received = in.Number("received");
}
void ReadBody(raft_field_reader& in, join_request& b) {
  b.domain = in.TextAs<failure_domain_id>("domain");
  b.nonce = in.Number("nonce");
}
void ReadBody(raft_field_reader&, timeout_now&) {}
void ReadBody(raft_field_reader&, leave_request&) {}
void ReadBody(raft_field_reader&, bootstrap_query&) {}
void ReadBody(raft_field_reader& in, bootstrap_response& b) {
  b.has_group = in.Flag("has_group");
  b.domain = in.TextAs<failure_domain_id>("domain");
  b.nonce = in.Number("nonce");
}
void ReadBody(raft_field_reader& in, start_query& b) {
  b.starts = in.Number("starts");
  b.run = in.Number("run");
}
void ReadBody(raft_field_reader& in, start_response& b) {
  b.run = in.Number("run");
  b.stale = in.Flag("stale");
  b.known_index = in.NumberAs<log_index>("known_index");
  if (!in.HasMore()) return;
  b.configuration_index = in.NumberAs<log_index>("configuration_index");
  b.configuration = in.Configuration("configuration");
}
void ReadBody(raft_field_reader& in, join_response& b) {
  member_id leader;
  leader.vm = in.TextAs<vm_id>("leader.vm");
  leader.disk = in.NumberAs<disk_id>("leader.disk");
  b.leader = leader;
}

template <std::size_t Index = 0>
void ReadBodyOfType(raft_field_reader& in, std::uint64_t type, bool has_fields,
                    raft_body& body) {
  if constexpr (Index < std::variant_size_v<raft_body>) {
    if (type != Index) {
      return ReadBodyOfType<Index + 1>(in, type, has_fields, body);
    }
    using body_type = std::variant_alternative_t<Index, raft_body>;
    body_type read;
    if (!std::is_same_v<body_type, join_response> || has_fields) {
      ReadBody(in, read);
    }
    body = std::move(read);
  } else {
    in.Fail(codec_error_kind::kUnknownType, "type");
  }
}

group_message ReadMessage(const msgpack::object& array,
                          const codec_limits& limits,
                          std::optional<codec_error>& error) {
  group_message read;
  raft_field_reader in(array, "message", limits, error);
  const std::uint64_t group = in.Number("group");
  const std::uint64_t type = in.Number("type");
  read.message.term = in.NumberAs<log_term>("term");
  if (error) return read;
  if (group > UINT32_MAX) {
    in.Fail(codec_error_kind::kOutOfRange, "group");
    return read;
  }
  read.group = static_cast<std::uint32_t>(group);
  const bool has_fields = array.via.array.size > kHeaderFields;
  ReadBodyOfType(in, type, has_fields, read.message.body);
  return read;
}

/// Parses one msgpack value. The limits are checked before memory is allocated.
result<msgpack::object_handle, codec_error> Parse(std::string_view bytes,
                                                  const codec_limits& limits) {
  if (bytes.size() > limits.max_bytes) {
    return failure(codec_error{codec_error_kind::kTooLarge, "bundle"});
  }
  const std::size_t max_array_size =
      std::max({limits.max_messages, limits.max_entries, limits.max_members});
  try {
    std::size_t offset = 0;
    msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), offset, nullptr, nullptr,
        msgpack::unpack_limit(max_array_size, 0, bytes.size(), bytes.size(), 0,
                              limits.max_depth));
    if (offset != bytes.size()) {
      return failure(codec_error{codec_error_kind::kMalformed, "trailing"});
    }
    return handle;
  } catch (const msgpack::unpack_error&) {
    return failure(codec_error{codec_error_kind::kMalformed, "bundle"});
  }
}

}  // namespace

std::string EncodeBundle(const std::vector<group_message>& messages) {
  msgpack::sbuffer buffer;
  packer out(buffer);
  out.pack_array(5);
  const raft_message first =
      messages.empty() ? raft_message{} : messages.front().message;
  PackText(out, first.from.vm.value());
  out.pack_uint64(first.from.disk.value());
  PackText(out, first.to.vm.value());
  out.pack_uint64(first.to.disk.value());
  out.pack_array(static_cast<std::uint32_t>(messages.size()));
  for (const group_message& message : messages) {
    std::visit(body_packer(out, message), message.message.body);
  }
  return {buffer.data(), buffer.size()};
}

result<std::vector<group_message>, codec_error> DecodeBundle(
    std::string_view bytes, const codec_limits& limits) {
  auto handle = Parse(bytes, limits);
  if (!handle) return failure(handle.error());
  std::optional<codec_error> error;
  raft_field_reader in(handle.value().get(), "bundle", limits, error);
  member_id from;
  member_id to;
  from.vm = in.TextAs<vm_id>("from.vm");
  from.disk = in.NumberAs<disk_id>("from.disk");
  to.vm = in.TextAs<vm_id>("to.vm");
  to.disk = in.NumberAs<disk_id>("to.disk");
  const msgpack::object* list = in.Array("messages", limits.max_messages);
  std::vector<group_message> messages;
  for (std::uint32_t i = 0; list != nullptr && i < list->via.array.size; ++i) {
    messages.push_back(ReadMessage(list->via.array.ptr[i], limits, error));
    if (error) break;
    messages.back().message.from = from;
    messages.back().message.to = to;
  }
  if (error) return failure(*error);
  return messages;
}

std::string EncodeConfiguration(const group_configuration& configuration) {
  msgpack::sbuffer buffer;
  packer out(buffer);
  out.pack_array(1);
  PackConfiguration(out, configuration);
  return {buffer.data(), buffer.size()};
}

result<group_configuration, codec_error> DecodeConfiguration(
    std::string_view bytes) {
  const codec_limits limits;
  auto handle = Parse(bytes, limits);
  if (!handle) return failure(handle.error());
  std::optional<codec_error> error;
  raft_field_reader in(handle.value().get(), "configuration", limits, error);
  group_configuration configuration = in.Configuration("members");
  if (error) return failure(*error);
  return configuration;
}

}  // namespace marjoramsill
