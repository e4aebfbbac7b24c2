#include "process/controller/document_offer.h"

namespace marjoramsill {
namespace {

// First byte of an encoded offer.
constexpr char kDocument = 'd';
constexpr char kSource = 's';

}  // namespace

std::string EncodeDocumentOffer(const document_offer& offer) {
  if (offer.document) return kDocument + EncodeStoredDocument(*offer.document);
  return kSource + offer.source.value();
}

std::optional<document_offer> DecodeDocumentOffer(std::string_view bytes) {
  if (bytes.empty()) return std::nullopt;
  document_offer offer;
  const char kind = bytes.front();
  bytes.remove_prefix(1);
  if (kind == kSource) {
    offer.source = vm_id(std::string(bytes));
    return offer;
  }
  if (kind != kDocument) return std::nullopt;
  offer.document = DecodeStoredDocument(bytes);
  if (!offer.document) return std::nullopt;
  return offer;
}

}  // namespace marjoramsill
