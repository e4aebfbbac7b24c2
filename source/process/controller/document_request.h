#ifndef MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_REQUEST_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_REQUEST_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "types/ids.h"

namespace marjoramsill {

/// Request to a VM for a document with at least this version.
struct document_request {
  document_version version;
  /// Failure domain of the requester.
  failure_domain_id domain;
  /// VMs that were named to the requester as sources of this version and have
  /// not answered in time.
  std::vector<vm_id> silent_sources = {};
};

/// Encoded as "VERSION DOMAIN", followed by a line for each silent source,
/// which an earlier build reads as part of the domain.
std::string EncodeDocumentRequest(const document_request& request);
/// Nothing if the bytes are not an encoded request.
std::optional<document_request> DecodeDocumentRequest(std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_REQUEST_H_
