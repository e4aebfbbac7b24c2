#ifndef MARJORAMSILL_PROCESS_DAEMON_DOCUMENT_FILE_H_
#define MARJORAMSILL_PROCESS_DAEMON_DOCUMENT_FILE_H_

#include <optional>
#include <string>
#include <string_view>

#include "version/policy_document.h"

namespace marjoramsill {

/// The document in force as a file: a header with format version and document
/// version, each section with its length, and a checksum at the end.
std::string EncodeDocument(const policy_document& document);

/// Nothing when the bytes are damaged or of another format.
std::optional<policy_document> DecodeDocument(std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_DOCUMENT_FILE_H_
