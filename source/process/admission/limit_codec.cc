#include "process/admission/limit_codec.h"

#include <cmath>
#include <limits>
#include <msgpack.hpp>

namespace marjoramsill {
namespace {

constexpr std::uint32_t kFieldCount = 14;
constexpr std::size_t kMaxDepth = 4;

void Pack(msgpack::packer<msgpack::sbuffer>& packer,
          const limit_message& message) {
  packer.pack_array(kFieldCount);
  packer.pack(static_cast<std::uint8_t>(message.kind));
  packer.pack(message.workspace.value());
  packer.pack(message.sequence);
  packer.pack(message.limit.version.value());
  // Single precision halves the size; its relative error is below 1e-7.
  packer.pack(static_cast<float>(message.limit.tokens_per_second));
  packer.pack(message.limit.concurrent);
  packer.pack(static_cast<float>(message.tokens_per_second));
  packer.pack(message.concurrent);
  packer.pack(static_cast<float>(message.held_tokens_per_second));
  packer.pack(message.held_concurrent);
  packer.pack(static_cast<float>(message.burst_tokens));
  packer.pack(static_cast<float>(message.returned_tokens));
  packer.pack(message.recalls);
  packer.pack(message.duration_ms);
}

/// Reads fields in order and records the first invalid one.
class field_reader {
 public:
  explicit field_reader(const msgpack::object& array) : array_(array) {}

  std::uint64_t Integer(const char* field, std::uint64_t max_value) {
    const msgpack::object* value = Next(field);
    if (value == nullptr) return 0;
    if (value->type != msgpack::type::POSITIVE_INTEGER) {
      return Fail(field, limit_decode_error_kind::kMalformed);
    }
    if (value->via.u64 > max_value) {
      return Fail(field, limit_decode_error_kind::kOutOfRange);
    }
    return value->via.u64;
  }
  std::uint32_t Integer32(const char* field) {
    return static_cast<std::uint32_t>(
        Integer(field, std::numeric_limits<std::uint32_t>::max()));
  }
  double Rate(const char* field) {
    const msgpack::object* value = Next(field);
    if (value == nullptr) return 0;
    // The packer writes whole numbers as integers.
    double number = -1;
    if (value->type == msgpack::type::POSITIVE_INTEGER) {
      number = static_cast<double>(value->via.u64);
    } else if (value->type == msgpack::type::FLOAT32 ||
               value->type == msgpack::type::FLOAT64) {
      number = value->via.f64;
    } else {
      Fail(field, limit_decode_error_kind::kMalformed);
      return 0;
    }
    if (!std::isfinite(number) || number < 0) {
      Fail(field, limit_decode_error_kind::kOutOfRange);
      return 0;
    }
    return number;
  }
  std::string Text(const char* field, std::size_t max_value) {
    const msgpack::object* value = Next(field);
    if (value == nullptr) return {};
    if (value->type != msgpack::type::STR) {
      Fail(field, limit_decode_error_kind::kMalformed);
      return {};
    }
    if (value->via.str.size == 0 || value->via.str.size > max_value) {
      Fail(field, limit_decode_error_kind::kOutOfRange);
      return {};
    }
    return {value->via.str.ptr, value->via.str.size};
  }
  bool failed() const { return failed_; }
  const limit_decode_error& error() const { return error_; }

 private:
  const msgpack::object* Next(const char* field) {
    if (array_.type != msgpack::type::ARRAY || next_ >= array_.via.array.size) {
      Fail(field, limit_decode_error_kind::kMalformed);
      return nullptr;
    }
    return &array_.via.array.ptr[next_++];
  }
  std::uint64_t Fail(const char* field, limit_decode_error_kind kind) {
    if (!failed_) error_ = {.kind = kind, .message = 0, .field = field};
    failed_ = true;
    return 0;
  }

  const msgpack::object& array_;
  std::uint32_t next_ = 0;
  bool failed_ = false;
  limit_decode_error error_;
};

result<limit_message, limit_decode_error> Unpack(const msgpack::object& from) {
  field_reader reader(from);
  limit_message message;
  message.kind = static_cast<limit_message_kind>(reader.Integer(
      "kind", static_cast<std::uint64_t>(limit_message_kind::kLeaseGrant)));
  message.workspace =
      workspace_id(reader.Text("workspace", kMaxWorkspaceIdBytes));
  constexpr auto kAny = std::numeric_limits<std::uint64_t>::max();
  message.sequence = reader.Integer("sequence", kAny);
  message.limit.version = section_version(reader.Integer("version", kAny));
  message.limit.tokens_per_second = reader.Rate("limit_tokens_per_second");
  message.limit.concurrent = reader.Integer32("limit_concurrent");
  message.tokens_per_second = reader.Rate("tokens_per_second");
  message.concurrent = reader.Integer32("concurrent");
  message.held_tokens_per_second = reader.Rate("held_tokens_per_second");
  message.held_concurrent = reader.Integer32("held_concurrent");
  message.burst_tokens = reader.Rate("burst_tokens");
  message.returned_tokens = reader.Rate("returned_tokens");
  message.recalls = reader.Integer32("recalls");
  message.duration_ms = reader.Integer32("duration_ms");
  if (reader.failed()) return failure(reader.error());
  return message;
}

}  // namespace

std::string EncodeLimitMessages(const std::vector<limit_message>& messages) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(static_cast<std::uint32_t>(messages.size()));
  for (const limit_message& message : messages) Pack(packer, message);
  return {buffer.data(), buffer.size()};
}

result<std::vector<limit_message>, limit_decode_error> DecodeLimitMessages(
    std::string_view bytes) {
  if (bytes.size() > kMaxLimitBytes) {
    return failure(limit_decode_error{
        .kind = limit_decode_error_kind::kTooLarge, .field = "batch"});
  }
  const msgpack::unpack_limit bounds(kMaxLimitMessages + kFieldCount, 0,
                                     kMaxWorkspaceIdBytes, 0, 0, kMaxDepth);
  msgpack::object_handle handle;
  try {
    handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, bounds);
  } catch (const msgpack::unpack_error&) {
    return failure(limit_decode_error{.field = "batch"});
  }
  const msgpack::object& batch = handle.get();
  if (batch.type != msgpack::type::ARRAY ||
      batch.via.array.size > kMaxLimitMessages) {
    return failure(limit_decode_error{.field = "batch"});
  }
  std::vector<limit_message> messages;
  messages.reserve(batch.via.array.size);
  for (std::size_t i = 0; i < batch.via.array.size; ++i) {
    auto message = Unpack(batch.via.array.ptr[i]);
    if (message.has_failure()) {
      limit_decode_error error = message.error();
      error.message = i;
      return failure(error);
    }
    messages.push_back(std::move(message.value()));
  }
  return messages;
}

}  // namespace marjoramsill
