#include "process/controller/document_register.h"

#include <utility>

#include "process/controller/evacuation_order.h"
#include "process/controller/register_snapshot.h"

namespace marjoramsill {

std::string document_register::Apply(std::string_view command) {
  if (const auto order = DecodeEvacuationOrder(command)) {
    const bool is_applied = evacuations_.Set(order->domain, order->evacuates);
    return is_applied ? std::to_string(evacuations_.change) : std::string();
  }
  auto document = DecodeStoredDocument(command);
  if (document && document->version > held_.version) {
    held_ = std::move(*document);
  }
  return std::to_string(held_.version.value());
}

std::string document_register::Snapshot() const {
  return EncodeRegisterSnapshot({held_, evacuations_});
}

bool document_register::Restore(std::string_view bytes) {
  if (bytes.empty()) {
    held_ = {};
    evacuations_ = {};
    return true;
  }
  auto snapshot = DecodeRegisterSnapshot(bytes);
  if (!snapshot) return false;
  held_ = std::move(snapshot->document);
  if (snapshot->evacuations.change >= evacuations_.change) {
    evacuations_ = std::move(snapshot->evacuations);
  }
  return true;
}

}  // namespace marjoramsill
