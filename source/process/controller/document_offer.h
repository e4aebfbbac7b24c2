#ifndef MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_OFFER_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_OFFER_H_

#include <optional>
#include <string>
#include <string_view>

#include "process/controller/stored_document.h"
#include "types/ids.h"

namespace marjoramsill {

/// Answer to a request for the document: the document itself, or a VM that is
/// likely to have it. Neither: ask again a little later.
struct document_offer {
  std::optional<stored_document> document;
  vm_id source;
};

std::string EncodeDocumentOffer(const document_offer& offer);
/// Nothing for bytes that are no offer.
std::optional<document_offer> DecodeDocumentOffer(std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_OFFER_H_
