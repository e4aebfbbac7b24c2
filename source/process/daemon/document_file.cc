#include "process/daemon/document_file.h"

#include <xxhash.h>

#include <cstdint>
#include <cstring>
#include <memory>
#include <utility>

#include "process/control/distribution_messages.h"

namespace marjoramsill {
namespace {

constexpr std::uint64_t kFormat = 1;

void AppendNumber(std::string& out, std::uint64_t value) {
  for (int shift = 0; shift < 64; shift += 8) {
    out += static_cast<char>((value >> shift) & 0xff);
  }
}

std::optional<std::uint64_t> TakeNumber(std::string_view& bytes) {
  constexpr std::size_t kBytes = 8;
  if (bytes.size() < kBytes) return std::nullopt;
  std::uint64_t value = 0;
  for (std::size_t i = kBytes; i-- > 0;) {
    value = (value << 8) | static_cast<std::uint8_t>(bytes[i]);
  }
  bytes.remove_prefix(kBytes);
  return value;
}

}  // namespace

std::string EncodeDocument(const policy_document& document) {
  std::string out;
  AppendNumber(out, kFormat);
  AppendNumber(out, document.version().value());
  AppendNumber(out, document.size());
  for (const auto& [version, record] : document.by_version()) {
    const std::string encoded = EncodePush({vm_id("document"), record});
    AppendNumber(out, encoded.size());
    out += encoded;
  }
  AppendNumber(out, XXH3_64bits(out.data(), out.size()));
  return out;
}

std::optional<policy_document> DecodeDocument(std::string_view bytes) {
  constexpr std::size_t kChecksumBytes = 8;
  if (bytes.size() < kChecksumBytes) return std::nullopt;
  std::string_view tail = bytes.substr(bytes.size() - kChecksumBytes);
  bytes.remove_suffix(kChecksumBytes);
  if (TakeNumber(tail) != XXH3_64bits(bytes.data(), bytes.size())) {
    return std::nullopt;
  }
  if (TakeNumber(bytes) != kFormat) return std::nullopt;
  const auto version = TakeNumber(bytes);
  const auto count = TakeNumber(bytes);
  if (!version || !count) return std::nullopt;
  policy_document document;
  for (std::uint64_t i = 0; i < *count; ++i) {
    const auto size = TakeNumber(bytes);
    if (!size || *size > bytes.size()) return std::nullopt;
    const auto push = DecodePush(bytes.substr(0, *size));
    if (!push) return std::nullopt;
    document.Put(push.assume_value().record);
    bytes.remove_prefix(*size);
  }
  document.set_version(document_version(*version));
  return document;
}

}  // namespace marjoramsill
