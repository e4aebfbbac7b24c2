#ifndef MARJORAMSILL_PROCESS_CONTROLLER_STORED_DOCUMENT_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_STORED_DOCUMENT_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "types/ids.h"

namespace marjoramsill {

/// Largest text of a routing document.
inline constexpr std::size_t kMaxDocumentBytes = std::size_t{16} * 1024 * 1024;

/// A routing document as it is replicated and distributed: the compressed bytes
/// that the operator submitted, and their version.
struct stored_document {
  /// 0: no document yet.
  document_version version;
  /// Compressed text. Shared because it is sent to many readers. Null if there
  /// is no document.
  std::shared_ptr<const std::string> packed;
};

/// Version in 8 bytes, most significant first, followed by the compressed
/// bytes.
std::string EncodeStoredDocument(const stored_document& document);
/// Nothing if the bytes are not an encoded document.
std::optional<stored_document> DecodeStoredDocument(std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_STORED_DOCUMENT_H_
