#ifndef MARJORAMSILL_PROCESS_CONTROLLER_STORED_DOCUMENT_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_STORED_DOCUMENT_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "types/ids.h"

namespace marjoramsill {

/// A routing document as it is replicated and distributed: the operator's
/// bytes, compressed, with the operator's version.
struct stored_document {
  /// 0: no document yet.
  document_version version;
  /// Shared, because it is sent to many readers. Null without a document.
  std::shared_ptr<const std::string> packed;
};

/// Version in 8 bytes, most significant first, followed by the packed bytes.
std::string EncodeStoredDocument(const stored_document& document);
/// Nothing for bytes that are not such an encoding.
std::optional<stored_document> DecodeStoredDocument(std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_STORED_DOCUMENT_H_
