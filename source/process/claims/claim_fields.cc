#include "process/claims/claim_fields.h"

#include <array>
#include <limits>
#include <utility>

#include "process/claims/claim_bounds.h"
#include "process/claims/claim_key.h"
#include "process/claims/claim_owner.h"
#include "process/claims/content_hash.h"
#include "process/claims/stored_response.h"

namespace marjoramsill {
namespace {

constexpr std::uint64_t kMaxUint64 = std::numeric_limits<std::uint64_t>::max();
// The largest array has 13 elements; the rest is reserved for fields of newer
// versions.
constexpr std::size_t kMaxArrayElements = 64;
constexpr std::size_t kMaxDepth = 6;

http_fields ReadHeaders(const msgpack::object* array,
                        claim_decode_status& status) {
  http_fields headers;
  if (array == nullptr) {
    status.Fail(claim_decode_fault::kWrongType);
    return headers;
  }
  claim_field_reader reader(*array, status);
  if (reader.size() > kMaxStoredHeaders) {
    status.Fail(claim_decode_fault::kOutOfRange);
    return headers;
  }
  for (std::size_t i = 0; i < reader.size() && !status.error; ++i) {
    const msgpack::object* pair = reader.OptionalArray();
    if (pair == nullptr) {
      status.Fail(claim_decode_fault::kWrongType);
      break;
    }
    claim_field_reader field(*pair, status);
    std::string name = field.Text(kMaxStoredHeaderBytes);
    headers.emplace_back(std::move(name), field.Text(kMaxStoredHeaderBytes));
  }
  return headers;
}

stored_response ReadFields(const msgpack::object& array,
                           claim_decode_status& status) {
  claim_field_reader fields(array, status);
  stored_response response;
  response.status = static_cast<std::uint16_t>(fields.Number(599));
  response.headers = ReadHeaders(fields.OptionalArray(), status);
  response.body = fields.Bytes(kMaxStoredBodyBytes);
  response.body_kept = fields.Flag();
  response.body_size = fields.Number(kMaxUint64);
  response.body_hash = fields.Hash();
  return response;
}

bool IsConsistent(const stored_response& response) {
  if (response.status < 100 || response.status > 599) return false;
  if (!response.body_kept) return response.body.empty();
  return response.body.size() == response.body_size &&
         HashContent(response.body) == response.body_hash;
}

}  // namespace

std::string_view ClaimDecodeFaultName(claim_decode_fault fault) {
  static constexpr std::array<std::string_view, 6> kNames = {
      "malformed",  "trailing bytes", "missing field",
      "wrong type", "out of range",   "unsupported version"};
  return kNames.at(static_cast<std::size_t>(fault));
}

void claim_decode_status::Fail(claim_decode_fault fault) {
  if (!error) error = claim_decode_error{fault, fields};
}

claim_field_reader::claim_field_reader(const msgpack::object& array,
                                       claim_decode_status& status)
    : status_(status) {
  if (array.type != msgpack::type::ARRAY) {
    status_.Fail(claim_decode_fault::kWrongType);
    return;
  }
  elements_ = array.via.array.ptr;
  size_ = array.via.array.size;
}

const msgpack::object* claim_field_reader::Next() {
  if (status_.error) return nullptr;
  ++status_.fields;
  if (next_ >= size_) {
    status_.Fail(claim_decode_fault::kMissingField);
    return nullptr;
  }
  return &elements_[next_++];
}

std::uint64_t claim_field_reader::Number(std::uint64_t max) {
  const msgpack::object* field = Next();
  if (field == nullptr) return 0;
  if (field->type != msgpack::type::POSITIVE_INTEGER) {
    status_.Fail(claim_decode_fault::kWrongType);
    return 0;
  }
  if (field->via.u64 > max) {
    status_.Fail(claim_decode_fault::kOutOfRange);
    return 0;
  }
  return field->via.u64;
}

std::string claim_field_reader::Text(std::size_t max_bytes) {
  const msgpack::object* field = Next();
  if (field == nullptr) return {};
  if (field->type != msgpack::type::STR) {
    status_.Fail(claim_decode_fault::kWrongType);
    return {};
  }
  if (field->via.str.size > max_bytes) {
    status_.Fail(claim_decode_fault::kOutOfRange);
    return {};
  }
  return {field->via.str.ptr, field->via.str.size};
}

std::string claim_field_reader::Bytes(std::size_t max_bytes) {
  const msgpack::object* field = Next();
  if (field == nullptr) return {};
  if (field->type != msgpack::type::BIN) {
    status_.Fail(claim_decode_fault::kWrongType);
    return {};
  }
  if (field->via.bin.size > max_bytes) {
    status_.Fail(claim_decode_fault::kOutOfRange);
    return {};
  }
  return {field->via.bin.ptr, field->via.bin.size};
}

bool claim_field_reader::Flag() {
  const msgpack::object* field = Next();
  if (field == nullptr) return false;
  if (field->type != msgpack::type::BOOLEAN) {
    status_.Fail(claim_decode_fault::kWrongType);
    return false;
  }
  return field->via.boolean;
}

content_hash claim_field_reader::Hash() {
  content_hash hash;
  hash.high = Number(kMaxUint64);
  hash.low = Number(kMaxUint64);
  return hash;
}

claim_key claim_field_reader::Key() {
  claim_key key;
  key.workspace = workspace_id(Text(kMaxClaimNameBytes));
  key.key = idempotency_key(Text(kMaxClaimNameBytes));
  return key;
}

claim_owner claim_field_reader::Owner() {
  claim_owner owner;
  owner.vm = vm_id(Text(kMaxClaimNameBytes));
  owner.incarnation = incarnation_number(Number(kMaxUint64));
  owner.serial = Number(kMaxUint64);
  return owner;
}

const msgpack::object* claim_field_reader::OptionalArray() {
  const msgpack::object* field = Next();
  if (field == nullptr || field->type == msgpack::type::NIL) return nullptr;
  if (field->type != msgpack::type::ARRAY) {
    status_.Fail(claim_decode_fault::kWrongType);
    return nullptr;
  }
  return field;
}

result<msgpack::object_handle, claim_decode_error> UnpackClaimArray(
    std::string_view bytes, std::size_t& offset) {
  const msgpack::unpack_limit limit(kMaxArrayElements, 0, kMaxStoredHeaderBytes,
                                    kMaxStoredBodyBytes, 0, kMaxDepth);
  try {
    return msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr,
                           limit);
  } catch (const msgpack::unpack_error&) {
    return failure(claim_decode_error{claim_decode_fault::kMalformed, 0});
  }
}

void PackHash(claim_packer& packer, const content_hash& hash) {
  packer.pack_uint64(hash.high);
  packer.pack_uint64(hash.low);
}

void PackKey(claim_packer& packer, const claim_key& key) {
  packer.pack(key.workspace.value());
  packer.pack(key.key.value());
}

void PackOwner(claim_packer& packer, const claim_owner& owner) {
  packer.pack(owner.vm.value());
  packer.pack_uint64(owner.incarnation.value());
  packer.pack_uint64(owner.serial);
}

void PackResponse(claim_packer& packer, const stored_response* response) {
  if (response == nullptr) {
    packer.pack_nil();
    return;
  }
  packer.pack_array(7);
  packer.pack_uint16(response->status);
  packer.pack_array(static_cast<std::uint32_t>(response->headers.size()));
  for (const auto& [name, value] : response->headers) {
    packer.pack_array(2);
    packer.pack(name);
    packer.pack(value);
  }
  const auto size = static_cast<std::uint32_t>(response->body.size());
  packer.pack_bin(size);
  packer.pack_bin_body(response->body.data(), size);
  packer.pack(response->body_kept);
  packer.pack_uint64(response->body_size);
  PackHash(packer, response->body_hash);
}

std::string EncodeResponse(const stored_response& response) {
  msgpack::sbuffer buffer;
  claim_packer packer(buffer);
  PackResponse(packer, &response);
  return {buffer.data(), buffer.size()};
}

stored_response DecodeTrustedResponse(std::string_view bytes) {
  std::size_t offset = 0;
  const auto unpacked = UnpackClaimArray(bytes, offset);
  if (!unpacked) return {};
  claim_decode_status status;
  return ReadFields(unpacked.value().get(), status);
}

std::optional<stored_response> ReadResponse(claim_field_reader& reader,
                                            claim_decode_status& status) {
  const msgpack::object* array = reader.OptionalArray();
  if (array == nullptr || status.error) return std::nullopt;
  stored_response response = ReadFields(*array, status);
  if (!status.error && !IsConsistent(response)) {
    status.Fail(claim_decode_fault::kOutOfRange);
  }
  return response;
}

}  // namespace marjoramsill
