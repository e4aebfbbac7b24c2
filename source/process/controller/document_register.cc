#include "process/controller/document_register.h"

#include <utility>

namespace marjoramsill {

std::string document_register::Apply(std::string_view command) {
  auto document = DecodeStoredDocument(command);
  if (document && document->version > held_.version) {
    held_ = std::move(*document);
  }
  return std::to_string(held_.version.value());
}

std::string document_register::Snapshot() const {
  return EncodeStoredDocument(held_);
}

bool document_register::Restore(std::string_view bytes) {
  if (bytes.empty()) {
    held_ = {};
    return true;
  }
  auto document = DecodeStoredDocument(bytes);
  if (!document) return false;
  held_ = std::move(*document);
  return true;
}

}  // namespace marjoramsill
