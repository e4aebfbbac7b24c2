#include "process/controller/stored_document.h"

#include <cstdint>

namespace marjoramsill {
namespace {

constexpr std::size_t kVersionBytes = 8;
constexpr unsigned kBitsPerByte = 8;

}  // namespace

std::string EncodeStoredDocument(const stored_document& document) {
  std::string bytes;
  for (std::size_t i = kVersionBytes; i > 0; --i) {
    const std::uint64_t shifted =
        document.version.value() >> (kBitsPerByte * (i - 1));
    bytes.push_back(static_cast<char>(shifted & 0xffU));
  }
  if (document.packed) bytes += *document.packed;
  return bytes;
}

std::optional<stored_document> DecodeStoredDocument(std::string_view bytes) {
  if (bytes.size() < kVersionBytes) return std::nullopt;
  std::uint64_t version = 0;
  for (std::size_t i = 0; i < kVersionBytes; ++i) {
    version = version << kBitsPerByte | static_cast<unsigned char>(bytes[i]);
  }
  stored_document document;
  document.version = document_version(version);
  bytes.remove_prefix(kVersionBytes);
  if (!bytes.empty()) {
    document.packed = std::make_shared<const std::string>(bytes);
  }
  return document;
}

}  // namespace marjoramsill
