#ifndef MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_OFFER_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_OFFER_H_

#include <optional>
#include <string>
#include <string_view>

#include "process/controller/stored_document.h"
#include "types/ids.h"

namespace marjoramsill {

/// Response to a request for the document: the document itself, or a VM that
/// probably has it. If both are empty, the requester retries after a short
/// delay.
struct document_offer {
  std::optional<stored_document> document;
  vm_id source;
};

std::string EncodeDocumentOffer(const document_offer& offer);
/// Nothing if the bytes are not an encoded offer.
std::optional<document_offer> DecodeDocumentOffer(std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_OFFER_H_
