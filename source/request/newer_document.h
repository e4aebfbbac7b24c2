#ifndef MARJORAMSILL_REQUEST_NEWER_DOCUMENT_H_
#define MARJORAMSILL_REQUEST_NEWER_DOCUMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "types/ids.h"

namespace marjoramsill {

/// Why an entry VM takes no request of a VM whose document is older than its
/// own. Builds that do not know this refusal read it as one of a VM that takes
/// no requests of others.
struct newer_document {
  /// Version in force at the VM that refuses.
  document_version version;
  /// Port at which the VM serves the document to others. It names no IP, so
  /// that a document is only fetched from the VM that was asked.
  std::uint16_t port = 0;

  friend bool operator==(const newer_document&,
                         const newer_document&) = default;
};

/// Value of kRelayField in the refusal.
std::string EncodeNewerDocument(const newer_document& newer);
/// Nothing if the value is another one, or malformed.
std::optional<newer_document> DecodeNewerDocument(std::string_view text);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_NEWER_DOCUMENT_H_
