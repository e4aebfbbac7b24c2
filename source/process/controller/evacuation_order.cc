#include "process/controller/evacuation_order.h"

#include "process/directory/evacuation_set.h"

namespace marjoramsill {
namespace {

/// Version 0 of a document in 8 bytes, and a tag with which no compressed
/// document begins.
constexpr std::string_view kStart{"\0\0\0\0\0\0\0\0evacuate", 16};
constexpr char kEvacuates = '+';
constexpr char kWithdraws = '-';

}  // namespace

std::string EncodeEvacuationOrder(const evacuation_order& order) {
  std::string bytes(kStart);
  bytes.push_back(order.evacuates ? kEvacuates : kWithdraws);
  bytes += order.domain.value();
  return bytes;
}

std::optional<evacuation_order> DecodeEvacuationOrder(std::string_view bytes) {
  if (!bytes.starts_with(kStart)) return std::nullopt;
  bytes.remove_prefix(kStart.size());
  if (bytes.empty()) return std::nullopt;
  const char action = bytes.front();
  if (action != kEvacuates && action != kWithdraws) return std::nullopt;
  bytes.remove_prefix(1);
  evacuation_order order{failure_domain_id(std::string(bytes)),
                         action == kEvacuates};
  if (!IsValidEvacuationDomain(order.domain)) return std::nullopt;
  return order;
}

}  // namespace marjoramsill
