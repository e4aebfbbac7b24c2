#ifndef MARJORAMSILL_PROCESS_DAEMON_DOCUMENT_FILE_H_
#define MARJORAMSILL_PROCESS_DAEMON_DOCUMENT_FILE_H_

#include <optional>
#include <string>
#include <string_view>

#include "version/policy_document.h"

namespace marjoramsill {

/// Encodes a document for storage: format version, document version and number
/// of sections, each section with its length, and a checksum.
std::string EncodeDocument(const policy_document& document);

/// Returns nullopt if the bytes are damaged or have another format version.
std::optional<policy_document> DecodeDocument(std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_DOCUMENT_FILE_H_
