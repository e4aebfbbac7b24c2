#include "process/daemon/leader_response.h"

#include <cstddef>
#include <msgpack.hpp>

namespace marjoramsill {
namespace {

constexpr std::size_t kMaxCommandBytes = 1024UL * 1024;
// Limits of one message: array size, map size, string bytes, binary bytes,
// extension bytes, nesting depth.
const msgpack::unpack_limit kLimit(8, 0, kMaxCommandBytes, kMaxCommandBytes, 0,
                                   4);

/// Unpacks an array of at least `size` elements; nullopt for anything else.
/// msgpack reports damaged input by exceptions, which are caught here.
std::optional<msgpack::object_handle> Unpack(std::string_view bytes,
                                             std::size_t size) {
  try {
    msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, kLimit);
    const msgpack::object& top = handle.get();
    if (top.type != msgpack::type::ARRAY || top.via.array.size < size) {
      return std::nullopt;
    }
    return handle;
  } catch (const msgpack::unpack_error&) {
    return std::nullopt;
  }
}

template <class Value>
std::optional<Value> Element(const msgpack::object_handle& handle,
                             std::uint32_t index) {
  Value value{};
  const msgpack::object& element = handle.get().via.array.ptr[index];
  try {
    element.convert(value);
  } catch (const msgpack::type_error&) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::string EncodeLeaderRequest(const leader_request& request) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(2).pack(request.group).pack(request.command);
  return {buffer.data(), buffer.size()};
}

std::optional<leader_request> DecodeLeaderRequest(std::string_view bytes) {
  const auto handle = Unpack(bytes, 2);
  if (!handle) return std::nullopt;
  const auto group = Element<std::uint32_t>(*handle, 0);
  auto command = Element<std::string>(*handle, 1);
  if (!group || !command) return std::nullopt;
  return leader_request{*group, std::move(*command)};
}

std::string EncodeLeaderResponse(const leader_response& response) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(3)
      .pack(static_cast<std::uint8_t>(response.kind))
      .pack(response.leader.value())
      .pack(response.body);
  return {buffer.data(), buffer.size()};
}

std::optional<leader_response> DecodeLeaderResponse(std::string_view bytes) {
  const auto handle = Unpack(bytes, 3);
  if (!handle) return std::nullopt;
  const auto kind = Element<std::uint8_t>(*handle, 0);
  auto leader = Element<std::string>(*handle, 1);
  auto body = Element<std::string>(*handle, 2);
  const auto last = static_cast<std::uint8_t>(leader_response_kind::kUnknown);
  if (!kind || *kind > last || !leader || !body) return std::nullopt;
  return leader_response{static_cast<leader_response_kind>(*kind),
                         vm_id(std::move(*leader)), std::move(*body)};
}

}  // namespace marjoramsill
