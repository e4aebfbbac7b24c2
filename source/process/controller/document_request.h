#ifndef MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_REQUEST_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_REQUEST_H_

#include <optional>
#include <string>
#include <string_view>

#include "types/ids.h"

namespace marjoramsill {

/// Asks a VM for a document of at least a version.
struct document_request {
  document_version version;
  /// Failure domain of the asker.
  failure_domain_id domain;
};

/// "VERSION DOMAIN".
std::string EncodeDocumentRequest(const document_request& request);
/// Nothing for bytes that are no request.
std::optional<document_request> DecodeDocumentRequest(std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_REQUEST_H_
