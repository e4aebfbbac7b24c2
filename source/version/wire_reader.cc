#include "version/wire_reader.h"

#include <algorithm>

#include "version/text_check.h"

namespace marjoramsill {
namespace {

constexpr std::size_t kMaxTextBytes = std::size_t{64} << 20U;

// Makes msgpack refer to strings in the input instead of copying them.
bool ReferToInput(msgpack::type::object_type, std::size_t, void*) {
  return true;
}

}  // namespace

std::string Describe(const wire_error& error) {
  const std::string at = error.field.empty() ? "" : " field " + error.field;
  switch (error.kind) {
    case wire_error_kind::kMalformed:
      return "not one complete msgpack message" + at;
    case wire_error_kind::kTooLarge:
      return "too large" + at;
    case wire_error_kind::kMissingField:
      return "missing" + at;
    case wire_error_kind::kWrongType:
      return "wrong type of" + at;
    case wire_error_kind::kOutOfRange:
      return "value out of range in" + at;
  }
  return "unknown";
}

wire_reader::wire_reader(const msgpack::object* array, const std::string& name,
                         wire_report& report)
    : array_(array), report_(report) {
  if (array == nullptr) return;
  if (array->type != msgpack::type::ARRAY) {
    report.Fail(wire_error_kind::kWrongType, name);
    return;
  }
  size_ = array->via.array.size;
}

const msgpack::object* wire_reader::Next(const std::string& name,
                                         msgpack::type::object_type type) {
  if (!ok()) return nullptr;
  if (next_ >= size_) {
    report_.Fail(wire_error_kind::kMissingField, name);
    return nullptr;
  }
  const msgpack::object& field = array_->via.array.ptr[next_++];
  if (field.type == type) return &field;
  report_.Fail(wire_error_kind::kWrongType, name);
  return nullptr;
}

std::uint64_t wire_reader::Number(const std::string& name,
                                  std::uint64_t max_value) {
  const auto* field = Next(name, msgpack::type::POSITIVE_INTEGER);
  if (field == nullptr) return 0;
  if (field->via.u64 <= max_value) return field->via.u64;
  report_.Fail(wire_error_kind::kOutOfRange, name);
  return 0;
}

bool wire_reader::Boolean(const std::string& name) {
  const auto* field = Next(name, msgpack::type::BOOLEAN);
  return field != nullptr && field->via.boolean;
}

std::string wire_reader::Text(const std::string& name, std::size_t max_bytes) {
  const auto* field = Next(name, msgpack::type::STR);
  if (field == nullptr) return {};
  if (field->via.str.size > max_bytes) {
    report_.Fail(wire_error_kind::kTooLarge, name);
    return {};
  }
  std::string text(field->via.str.ptr, field->via.str.size);
  if (FirstInvalidByte(text)) {
    report_.Fail(wire_error_kind::kOutOfRange, name);
    return {};
  }
  return text;
}

std::string_view wire_reader::Bytes(const std::string& name,
                                    std::size_t max_bytes) {
  const auto* field = Next(name, msgpack::type::BIN);
  if (field == nullptr) return {};
  if (field->via.bin.size <= max_bytes) {
    return {field->via.bin.ptr, field->via.bin.size};
  }
  report_.Fail(wire_error_kind::kTooLarge, name);
  return {};
}

void wire_reader::Fixed(const std::string& name, std::uint8_t* target,
                        std::size_t size) {
  const std::string_view bytes = Bytes(name, size);
  if (!ok()) return;
  if (bytes.size() != size) {
    report_.Fail(wire_error_kind::kOutOfRange, name);
    return;
  }
  std::copy(bytes.begin(), bytes.end(), target);
}

wire_reader wire_reader::Array(const std::string& name,
                               std::size_t max_entries) {
  const auto* field = Next(name, msgpack::type::ARRAY);
  if (field != nullptr && field->via.array.size > max_entries) {
    report_.Fail(wire_error_kind::kTooLarge, name);
    field = nullptr;
  }
  return wire_reader(field, name, report_);
}

result<wire_message, wire_error> wire_message::Open(std::string_view bytes,
                                                    const wire_limits& limits) {
  if (bytes.size() > limits.bytes) {
    return failure(wire_error{wire_error_kind::kTooLarge, ""});
  }
  const msgpack::unpack_limit limit(limits.entries, 0, kMaxTextBytes,
                                    kMaxTextBytes, 0, kMaxLevels);
  wire_message message;
  try {
    std::size_t offset = 0;
    message.handle_ = std::make_shared<msgpack::object_handle>(msgpack::unpack(
        bytes.data(), bytes.size(), offset, ReferToInput, nullptr, limit));
    if (offset != bytes.size()) {
      return failure(wire_error{wire_error_kind::kMalformed, ""});
    }
  } catch (const msgpack::size_overflow&) {
    return failure(wire_error{wire_error_kind::kTooLarge, ""});
  } catch (const std::exception&) {
    return failure(wire_error{wire_error_kind::kMalformed, ""});
  }
  return message;
}

void PackText(wire_packer& packer, std::string_view text) {
  packer.pack_str(static_cast<std::uint32_t>(text.size()));
  packer.pack_str_body(text.data(), static_cast<std::uint32_t>(text.size()));
}

void PackBytes(wire_packer& packer, std::string_view bytes) {
  packer.pack_bin(static_cast<std::uint32_t>(bytes.size()));
  packer.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
}

void PackBytes(wire_packer& packer, const std::uint8_t* data,
               std::size_t size) {
  PackBytes(packer, {reinterpret_cast<const char*>(data), size});
}

}  // namespace marjoramsill
